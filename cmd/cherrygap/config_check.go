package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Work with configuration files"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Check operator files (.toml) or platform configurations (.json); exit 2 on any fault",
		Long: `Check each file and print every fault with its key and, where known, its line. A .json file is
read as the platform's configuration (as GW_CONFIG names it); anything else as an operator file.
Exit code 0 when all are good, 2 when any is not.`,
		Args: cobra.MinimumNArgs(1),
		RunE: runConfigCheck,
	})
	return cmd
}

// runConfigCheck checks each file and prints its faults. It returns errReported where any file has one.
func runConfigCheck(cmd *cobra.Command, paths []string) error {
	var result error
	for _, path := range paths {
		deprecations, err := checkFile(path)
		if err != nil {
			cmd.PrintErrln(err)
			result = errReported
			continue
		}
		printDeprecations(cmd, path, deprecations)
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", path)
	}
	return result
}

// checkFile checks a platform configuration (.json) or an operator file. It returns the deprecated keys of an operator file.
// It ignores environment variables.
func checkFile(path string) ([]operatorfile.Deprecation, error) {
	if filepath.Ext(path) == ".json" {
		_, err := node.LoadPlatformFile(path)
		return nil, err
	}
	file, err := operatorfile.Load(path)
	return file.Deprecations, err
}
