package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// addDeprecatedFlag keeps the old name of a flag. It sets the same value, and writes the new name on standard error. Flags.Changed
// reports a flag given by its old name under that name only.
func addDeprecatedFlag(flags *pflag.FlagSet, old, name string) {
	flag := *flags.Lookup(name)
	flag.Name = old
	flag.Deprecated = "write --" + name
	flag.Hidden = true
	flags.AddFlag(&flag)
}

// deprecateCommand turns a command into the old name of another. It does the same, and writes the new name on standard
// error.
func deprecateCommand(cmd *cobra.Command, old, name string) *cobra.Command {
	cmd.Use = old
	cmd.Deprecated = "write " + name
	return cmd
}
