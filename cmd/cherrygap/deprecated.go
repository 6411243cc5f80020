package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// addDeprecatedFlag adds the old name of a flag. A flag given by that name sets the same value, and cobra writes the new name on
// standard error. Changed of the new name stays false then, so override does not work with flags that have an old name.
func addDeprecatedFlag(flags *pflag.FlagSet, old, name string) {
	flag := *flags.Lookup(name)
	flag.Name = old
	flag.Deprecated = "write --" + name
	flag.Hidden = true
	flags.AddFlag(&flag)
}

// deprecateCommand gives a command its old name. Such a command works as before, and cobra writes the new name on standard
// error.
func deprecateCommand(cmd *cobra.Command, old, name string) *cobra.Command {
	cmd.Use = old
	cmd.Deprecated = "write " + name
	return cmd
}
