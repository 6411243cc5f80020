package main

import (
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
)

// version may be set at build time with -ldflags "-X main.version=...". Empty, the build information gives the version.
var version = ""

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the program's version and the Go it was built with",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			number, goVersion := buildVersion()
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "cherrygap %s (%s)\n", number, goVersion)
		},
	}
}

// buildVersion returns the program's version, with the commit where it is known, and Go's version.
func buildVersion() (number, goVersion string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return strings.TrimSpace(version), "unknown"
	}
	if number = version; number == "" {
		number = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				number += " " + setting.Value
			}
		}
	}
	return strings.TrimSpace(number), info.GoVersion
}
