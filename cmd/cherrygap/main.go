// Command cherrygap is one edge node of a gateway fleet, and the laboratory that measures it. The node accepts
// clients' requests, asks the decision engine what to do with each, and carries that out on sockets.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cherrygap/internal/node"
)

// exitFailed is the exit code after any error: a bad configuration, file, address, command or flag.
const exitFailed = 2

// The log library keeps its time format in a variable, for the whole process.
func init() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs }

func main() {
	root := newRootCommand()
	if startsNode(root, os.Args[1:]) {
		node.CatchSignals()
	}
	if err := root.Execute(); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "cherrygap:", err)
		}
		os.Exit(exitFailed)
	}
}

// startsNode reports whether a command line starts a node.
func startsNode(root *cobra.Command, args []string) bool {
	cmd, _, err := root.Find(args)
	return err == nil && (cmd == root || cmd.Name() == serveCommandName)
}
