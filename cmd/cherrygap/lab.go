package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

// newLabCommand makes the laboratory's commands. Most read the [lab] part of the operator file; flags take precedence.
func newLabCommand(operatorPath *string) *cobra.Command {
	lab := &cobra.Command{
		Use:   "lab",
		Short: "The laboratory: emulated app servers, open-loop load and fleet models, on loopback only",
	}
	lab.AddCommand(
		newEmulateCommand(operatorPath),
		newLoadCommand(operatorPath),
		newModelCommand(operatorPath),
		newReportCommand(),
		newHealthChecksCommand(operatorPath),
		newDutiesCommand(operatorPath),
		newStoreCommand(operatorPath),
		newScaleCommand(operatorPath),
		newScaleServersCommand(),
		newScaleNodesCommand(),
		newSoakCommand(operatorPath),
		newSoakNodeCommand(),
		deprecateCommand(newScaleNodesCommand(), "scale-nodes", "lab scale-simulated-nodes"),
	)
	lab.AddCommand(newLabGRPCCommands(operatorPath)...)
	return lab
}

// withLabFile is withOperatorFile for the laboratory's commands. They print the file's deprecated keys.
func withLabFile(path *string, run func(cmd *cobra.Command, file operatorfile.File) error) commandFunc {
	return withOperatorFile(path, func(cmd *cobra.Command, file operatorfile.File) error {
		printDeprecations(cmd, *path, file.Deprecations)
		return run(cmd, file)
	})
}

// newLabLog makes the laboratory's log on standard error.
func newLabLog(file operatorfile.File) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(node.ParseLogLevel(file.Log.Level)).With().Timestamp().Logger()
}

// printJSON writes a value as one JSON line on standard output.
func printJSON(cmd *cobra.Command, value any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(value)
}

// announce prints the JSON line with a server's addresses. It ignores write errors, because the server does not need the line.
func announce(cmd *cobra.Command, value any) { _ = printJSON(cmd, value) }

// contextUntilSignal returns a context that ends on SIGINT or SIGTERM, and also after limit if that is above 0.
func contextUntilSignal(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	if limit <= 0 {
		return ctx, stop
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, func() {
		cancel()
		stop()
	}
}

// override sets target, a value of the operator file, to value if the flag was given on the command line.
func override[T any](cmd *cobra.Command, flag string, target *T, value T) {
	if cmd.Flags().Changed(flag) {
		*target = value
	}
}

// checkFlags validates the operator file after override has put the flags' values into it. The error names the keys of the
// operator file, not the flags.
func checkFlags(file operatorfile.File) error {
	faults := file.Validate()
	if len(faults) == 0 {
		return nil
	}
	texts := make([]string, len(faults))
	for i, fault := range faults {
		texts[i] = fault.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

// withSeries creates the file for a series (one JSON line a second), calls run with it and closes it. With an empty path run
// gets nil. The file is kept even if run fails.
func withSeries(path string, run func(series io.Writer) error) error {
	if path == "" {
		return run(nil)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(run(file), file.Close())
}
