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
		Short: "Check operator files (.toml) or platform configurations (.json); exit code 2 on any error",
		Long: `Check each file and print every error with its key and, where known, its line. A .json file is
read as the platform's configuration (the file that GW_CONFIG names), any other file as an operator file.
Exit code 0 if all files are good, 2 if any is not.`,
		Args: cobra.MinimumNArgs(1),
		RunE: runConfigCheck,
	})
	return cmd
}

// runConfigCheck checks each file and prints its errors. It returns errReported if any file has an error.
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

// checkFile checks a platform configuration (.json) or an operator file. It returns the deprecated keys of an operator file
// and ignores environment variables.
func checkFile(path string) ([]operatorfile.Deprecation, error) {
	if filepath.Ext(path) == ".json" {
		_, err := node.LoadPlatformFile(path)
		return nil, err
	}
	file, err := operatorfile.Load(path)
	return file.Deprecations, err
}
