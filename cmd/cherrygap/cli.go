package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cherrygap/internal/operatorfile"
)

// version is set at build time with -ldflags "-X main.version=..."; else the module's build information tells.
var version = ""

// errShown is returned once the faults are already written: main then only sets the exit code.
var errShown = errors.New("faults found")

// newRoot is the command tree. With no sub-command the program serves, as `exec bin/cherrygap` expects.
func newRoot() *cobra.Command {
	var opFile string
	root := &cobra.Command{
		Use:   "cherrygap",
		Short: "A quota-keeping edge node for a shared API, and its laboratory",
		Long: `cherrygap takes tickets from clients and lets one decision module say, for each, whether it is
sent on, to which app server, or bounced. With no sub-command it serves, as "serve" does.

The platform's configuration is the JSON file named by GW_CONFIG (GW_NAME, GW_LISTEN and GW_DISCOVERY
hold over it). What the platform does not carry is in the operator file (TOML, docs/configuration.md),
named by --operator or GW_OPERATOR; without one, every key has its default.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(opFile)
			if err != nil {
				return err
			}
			return serve(op)
		},
	}
	root.PersistentFlags().StringVar(&opFile, "operator", os.Getenv("GW_OPERATOR"),
		"operator file (TOML); default $GW_OPERATOR, else none and every key at its default")
	serveCmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one edge node until SIGTERM and its last answer (the default)",
		Long: `Run one edge node. It reads GW_CONFIG, listens where it says and serves until SIGTERM, then
accepts for 0.4 s more and ends once every ticket it took is answered. SIGHUP reads GW_CONFIG again;
SIGUSR1 logs the counters. A bad configuration is one line on standard error and exit code 2.`,
		Args: cobra.NoArgs,
		RunE: root.RunE,
	}
	root.AddCommand(serveCmd, newVersion(), newConfig(), newLab(&opFile))
	return root
}

// loadOperator reads the operator file, or gives the defaults when none is named.
func loadOperator(path string) (operatorfile.File, error) {
	if path == "" {
		return operatorfile.Default(), nil
	}
	return operatorfile.Load(path)
}

func logLevel(name string) zerolog.Level {
	l, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return zerolog.InfoLevel
	}
	return l
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the program's version and the Go it was built with",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			v, goVersion := version, "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
				if v == "" {
					v = info.Main.Version
					for _, s := range info.Settings {
						if s.Key == "vcs.revision" {
							v += " " + s.Value
						}
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "cherrygap %s (%s)\n", strings.TrimSpace(v), goVersion)
		},
	}
}

func newConfig() *cobra.Command {
	cfg := &cobra.Command{Use: "config", Short: "Work with configuration files"}
	cfg.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Check operator files (.toml) or platform configurations (.json); exit 2 on any fault",
		Long: `Check each file and print every fault with its key and, where known, its line. A .json file is
read as the platform's configuration (as GW_CONFIG names it); anything else as an operator file.
Exit code 0 when all are good, 2 when any is not.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			failed := false
			for _, path := range files {
				if err := checkFile(path); err != nil {
					failed = true
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", path)
			}
			if failed {
				return errShown
			}
			return nil
		},
	})
	return cfg
}

func checkFile(path string) error {
	if filepath.Ext(path) != ".json" {
		_, err := operatorfile.Load(path)
		return err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := parseConfig(raw, func(string) string { return "" }); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
