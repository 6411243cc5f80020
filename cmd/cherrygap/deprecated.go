package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// addDeprecatedFlag keeps the old name of a flag working: it sets the same value, and writes what to use instead on
// standard error. Only the new name counts as changed.
func addDeprecatedFlag(flags *pflag.FlagSet, old, name string) {
	flag := *flags.Lookup(name)
	flag.Name = old
	flag.Deprecated = "write --" + name
	flag.Hidden = true
	flags.AddFlag(&flag)
}

// deprecateCommand turns a command into the old name of another: it works as ever, and writes what to use instead on
// standard error.
func deprecateCommand(cmd *cobra.Command, old, name string) *cobra.Command {
	cmd.Use = old
	cmd.Deprecated = "write " + name
	return cmd
}
