package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

const serveCommandName = "serve"

// errReported is returned by a command that has already printed its errors. main then only sets the exit code.
var errReported = errors.New("errors already printed")

// newRootCommand returns the command tree. The deployment starts a node by the program's name alone, so the root command does
// the same as serve.
func newRootCommand() *cobra.Command {
	var operatorPath string
	root := &cobra.Command{
		Use:   "cherrygap",
		Short: "An edge node of a gateway fleet that enforces a shared API's quotas, and its test laboratory",
		Long: `cherrygap accepts clients' requests. Its decision engine forwards each to an app server, or rejects it.
With no sub-command it runs an edge node, as "serve" does.

The platform's configuration is the JSON file named by GW_CONFIG. GW_NAME, GW_LISTEN and GW_DISCOVERY take
precedence over the file. The operator file (TOML, docs/configuration.md), named by --operator or GW_OPERATOR,
adds the operators' own settings. Without an operator file, every key has its default.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          withOperatorFile(&operatorPath, serve),
	}
	root.PersistentFlags().StringVar(&operatorPath, "operator", os.Getenv(node.EnvOperator),
		"operator file (TOML); default $GW_OPERATOR; without a file every key has its default")
	root.AddCommand(newServeCommand(root), newVersionCommand(), newConfigCommand(), newLabCommand(&operatorPath))
	return root
}

// newServeCommand returns the command that runs a node. The root command does the same.
func newServeCommand(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:   serveCommandName,
		Short: "Run one edge node until SIGTERM and its last response (the default)",
		Long: `Run one edge node with the configuration file that GW_CONFIG names. On SIGTERM the node drains: it accepts
connections for 0.5 s more, and exits once every accepted request has its response. SIGHUP reads the configuration
file again; SIGUSR1 logs the counters. A malformed configuration gives one line on standard error and exit code 2.`,
		Args: cobra.NoArgs,
		RunE: root.RunE,
	}
}

// serve reads the platform's configuration and runs a node until the node has drained.
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

// withOperatorFile returns a command function that reads the operator file and passes its contents to run. The function
// dereferences path when the command runs, after the flags were parsed.
func withOperatorFile(path *string, run func(cmd *cobra.Command, file operatorfile.File) error) commandFunc {
	return func(cmd *cobra.Command, _ []string) error {
		file, err := loadOperatorFile(*path)
		if err != nil {
			return err
		}
		return run(cmd, file)
	}
}

// loadOperatorFile reads the operator file at path. For an empty path it returns the defaults.
func loadOperatorFile(path string) (operatorfile.File, error) {
	if path == "" {
		return operatorfile.Default(), nil
	}
	return operatorfile.Load(path)
}

// printDeprecations prints a line on standard error for each deprecated key of an operator file. A node logs these keys
// instead.
func printDeprecations(cmd *cobra.Command, path string, keys []operatorfile.Deprecation) {
	for _, key := range keys {
		cmd.PrintErrf("%s: %v\n", path, key)
	}
}
