package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

const serveCommandName = "serve"

// errReported is the error of a command that has already written its faults. main then only sets the exit code.
var errReported = errors.New("faults found")

// newRootCommand makes the command tree. The deploy file starts a node by the program's name alone, so the root command does
// what serve does.
func newRootCommand() *cobra.Command {
	var operatorPath string
	root := &cobra.Command{
		Use:   "cherrygap",
		Short: "A node of a gateway fleet that keeps a shared API's quotas, and its laboratory",
		Long: `cherrygap accepts clients' requests. Its decision engine forwards each to an app server, or rejects it.
With no sub-command it serves, as "serve" does.

The platform's configuration is the JSON file named by GW_CONFIG (GW_NAME, GW_LISTEN and GW_DISCOVERY
take precedence over it). The operator file (TOML, docs/configuration.md), named by --operator or GW_OPERATOR,
adds the operators' own settings; without one, every key has its default.`,
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

// newServeCommand makes the command that runs a node. The root command does the same.
func newServeCommand(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:   serveCommandName,
		Short: "Run one edge node until SIGTERM and its last response (the default)",
		Long: `Run one edge node by the configuration that GW_CONFIG names. SIGTERM drains it: it accepts connections
for 0.5 s more, and ends once every accepted request has its response. SIGHUP reads GW_CONFIG again; SIGUSR1 logs
the counters. A malformed configuration is one line on standard error and exit code 2.`,
		Args: cobra.NoArgs,
		RunE: root.RunE,
	}
}

// serve reads the platform's configuration, and runs a node until it has drained.
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

// commandFunc is the type of cobra's RunE.
type commandFunc = func(cmd *cobra.Command, args []string) error

// withOperatorFile returns a command function that reads the operator file and passes it to run. The path is read when the
// command runs, after the flags were parsed.
func withOperatorFile(path *string, run func(cmd *cobra.Command, file operatorfile.File) error) commandFunc {
	return func(cmd *cobra.Command, _ []string) error {
		file, err := loadOperatorFile(*path)
		if err != nil {
			return err
		}
		return run(cmd, file)
	}
}

// loadOperatorFile reads the operator file. An empty path gives the defaults.
func loadOperatorFile(path string) (operatorfile.File, error) {
	if path == "" {
		return operatorfile.Default(), nil
	}
	return operatorfile.Load(path)
}

// printDeprecations writes a line on standard error for each deprecated key of an operator file. A node logs them instead.
func printDeprecations(cmd *cobra.Command, path string, keys []operatorfile.Deprecation) {
	for _, key := range keys {
		cmd.PrintErrf("%s: %v\n", path, key)
	}
}
