// Command simadapter connects the decision engine to the simulator. It reads batches of events on standard input and writes
// a reply to each batch on standard output. It translates between the simulator's protocol and the engine, and makes no
// decisions itself.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
