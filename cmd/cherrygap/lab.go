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

// newLabCommand makes the laboratory's commands. Each reads the operator file's [lab] part; flags take precedence over it.
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

// withLabFile is withOperatorFile for the laboratory's commands, which write the file's deprecated keys on standard error.
func withLabFile(path *string, run func(cmd *cobra.Command, file operatorfile.File) error) commandFunc {
	return withOperatorFile(path, func(cmd *cobra.Command, file operatorfile.File) error {
		printDeprecations(cmd, *path, file.Deprecations)
		return run(cmd, file)
	})
}

// newLabLog opens the laboratory's own log on standard error.
func newLabLog(file operatorfile.File) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(node.ParseLogLevel(file.Log.Level)).With().Timestamp().Logger()
}

// printJSON writes a value as one JSON line on standard output.
func printJSON(cmd *cobra.Command, value any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(value)
}

// announce writes the JSON line with a serving command's addresses. An error is no reason not to serve.
func announce(cmd *cobra.Command, value any) { _ = printJSON(cmd, value) }

// contextUntilSignal gives a context that ends on SIGINT or SIGTERM, or after the time limit when that is above 0.
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

// override sets a value of the operator file to that of a flag, when the flag was given.
func override[T any](cmd *cobra.Command, flag string, target *T, value T) {
	if cmd.Flags().Changed(flag) {
		*target = value
	}
}

// checkFlags runs the values of flags through the operator file's checks, so that a bad one names itself as a key.
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

// withSeries runs with the file for a run's series, one JSON line a second; without a path it runs with nil.
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
