package main

import (
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
)

// version may be set at build time with -ldflags "-X main.version=...". If it is empty, buildVersion uses the build information.
var version = ""

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the program's version and the Go version that built it",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			programVersion, goVersion := buildVersion()
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "cherrygap %s (%s)\n", programVersion, goVersion)
		},
	}
}

// buildVersion returns the program's version and the version of Go that built it. A program version from the build information
// includes the commit, where known.
func buildVersion() (programVersion, goVersion string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return strings.TrimSpace(version), "unknown"
	}
	if programVersion = version; programVersion == "" {
		programVersion = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				programVersion += " " + setting.Value
			}
		}
	}
	return strings.TrimSpace(programVersion), info.GoVersion
}
