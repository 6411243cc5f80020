package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

const serveCommandName = "serve"

// errReported is returned by a command that has already written what is wrong: main then only sets the exit code.
var errReported = errors.New("faults found")

// newRootCommand makes the command tree. With no sub-command the program serves, as `exec bin/cherrygap` expects.
func newRootCommand() *cobra.Command {
	var operatorPath string
	root := &cobra.Command{
		Use:   "cherrygap",
		Short: "A node of a gateway fleet that keeps a shared API's quotas, and its laboratory",
		Long: `cherrygap accepts clients' requests and lets one decision engine say, for each, whether it is forwarded,
to which app server, or rejected. With no sub-command it serves, as "serve" does.

The platform's configuration is the JSON file named by GW_CONFIG (GW_NAME, GW_LISTEN and GW_DISCOVERY
take precedence over it). What the platform does not carry is in the operator file (TOML, docs/configuration.md),
named by --operator or GW_OPERATOR; without one, every key has its default.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          withOperatorFile(&operatorPath, serve),
	}
	root.PersistentFlags().StringVar(&operatorPath, "operator", os.Getenv(node.EnvOperator),
		"operator file (TOML); default $GW_OPERATOR, else none and every key at its default")
	root.AddCommand(newServeCommand(root), newVersionCommand(), newConfigCommand(), newLabCommand(&operatorPath))
	return root
}

// newServeCommand makes the command that runs a node, as the root command does.
func newServeCommand(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:   serveCommandName,
		Short: "Run one edge node until SIGTERM and its last response (the default)",
		Long: `Run one edge node. It reads GW_CONFIG, listens where it says and serves until SIGTERM, then
accepts for 0.5 s more and ends once every request that it accepted has its response. SIGHUP reads GW_CONFIG again;
SIGUSR1 logs the counters. A bad configuration is one line on standard error and exit code 2.`,
		Args: cobra.NoArgs,
		RunE: root.RunE,
	}
}

// serve reads the platform's configuration and runs the node until it has drained.
func serve(_ *cobra.Command, file operatorfile.File) error {
	c, err := node.LoadConfigAtStart()
	if err != nil {
		return err
	}
	if err := c.ApplyOperator(file); err != nil {
		return err
	}
	node.LimitRuntime(c)
	return node.Serve(c, node.CatchSignals())
}

// commandFunc is what a command runs.
type commandFunc = func(cmd *cobra.Command, args []string) error

// withOperatorFile makes a command that takes no arguments read the operator file before it runs.
func withOperatorFile(path *string, run func(cmd *cobra.Command, file operatorfile.File) error) commandFunc {
	return func(cmd *cobra.Command, _ []string) error {
		file, err := loadOperatorFile(*path)
		if err != nil {
			return err
		}
		return run(cmd, file)
	}
}

// loadOperatorFile reads the operator file, or gives the defaults when none is named.
func loadOperatorFile(path string) (operatorfile.File, error) {
	if path == "" {
		return operatorfile.Default(), nil
	}
	return operatorfile.Load(path)
}

// printDeprecations writes on standard error which keys an operator file gives under an earlier name, a line each. (A node
// writes that into its log.)
func printDeprecations(cmd *cobra.Command, path string, keys []operatorfile.Deprecation) {
	for _, key := range keys {
		cmd.PrintErrf("%s: %v\n", path, key)
	}
}
