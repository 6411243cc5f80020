// Command simadapter plays the decision engine on the simulator's protocol: it reads batches of events on standard
// input and writes one reply to each on standard output. It decides nothing itself.
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
