package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// addDeprecatedFlag adds the old name of a flag. A flag given by its old name sets the same value, and cobra prints the new
// name on standard error. Changed then reports false for the new name, so override does not work with flags that have an
// old name.
func addDeprecatedFlag(flags *pflag.FlagSet, old, name string) {
	flag := *flags.Lookup(name)
	flag.Name = old
	flag.Deprecated = "write --" + name
	flag.Hidden = true
	flags.AddFlag(&flag)
}

// deprecateCommand changes the name of cmd to the deprecated name old and returns cmd. The command works as before, and cobra
// prints the new name on standard error.
func deprecateCommand(cmd *cobra.Command, old, name string) *cobra.Command {
	cmd.Use = old
	cmd.Deprecated = "write " + name
	return cmd
}
