// Command cherrygap runs one edge node of a gateway fleet, or the laboratory that measures such nodes.
//
// This package is the command line. Package node runs the node, and the packages below internal/lab run the laboratory.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cherrygap/internal/node"
)

// exitFailed is the process's exit code after any error.
const exitFailed = 2

// init sets zerolog's time format, which applies to the whole process. Nodes and the laboratory log Unix milliseconds.
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

// startsNode reports whether a command line starts a node. A node's process catches its signals before it reads any file.
func startsNode(root *cobra.Command, args []string) bool {
	cmd, _, err := root.Find(args)
	return err == nil && (cmd == root || cmd.Name() == serveCommandName)
}
