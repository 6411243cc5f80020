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

// newLabCommand returns the laboratory's commands. Most read the [lab] section of the operator file, and flags take precedence
// over that section.
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

// withLabFile is like withOperatorFile, and the returned function also prints the file's deprecated keys.
func withLabFile(path *string, run func(cmd *cobra.Command, file operatorfile.File) error) commandFunc {
	return withOperatorFile(path, func(cmd *cobra.Command, file operatorfile.File) error {
		printDeprecations(cmd, *path, file.Deprecations)
		return run(cmd, file)
	})
}

// newLabLog returns a logger that writes to standard error at the operator file's log level.
func newLabLog(file operatorfile.File) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(node.ParseLogLevel(file.Log.Level)).With().Timestamp().Logger()
}

// printJSON prints a value as one JSON line on standard output.
func printJSON(cmd *cobra.Command, value any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(value)
}

// announce prints a server's addresses as one JSON line. It ignores write errors, because the server does not need the line.
func announce(cmd *cobra.Command, value any) { _ = printJSON(cmd, value) }

// contextUntilSignal returns a context that ends on SIGINT or SIGTERM, and also after limit if limit is above 0.
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

// checkFlags validates the operator file after override has replaced values by those of flags. The error names the keys of
// the operator file, not the flags.
func checkFlags(file operatorfile.File) error {
	errs := file.Validate()
	if len(errs) == 0 {
		return nil
	}
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

// withSeries creates the file of a series (one JSON line a second), calls run with the file and closes the file. With an empty
// path it calls run with nil. The file is kept even if run fails.
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
