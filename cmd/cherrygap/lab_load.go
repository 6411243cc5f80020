package main

import (
	"io"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/load"
	"cherrygap/internal/operatorfile"
)

// loadFlags holds the flags of `lab load`.
type loadFlags struct {
	target   string
	rate     float64 // mean arrival rate in requests a second
	duration float64 // duration of the arrivals in seconds
	seed     uint64
	series   string // path of the series file; empty for none
}

func newLoadCommand(operatorPath *string) *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to an edge node or a server on loopback and print a summary",
		Long: `Send requests as the platform's clients do. Arrivals are Poisson (requests a second, with bursts) and do not
wait for responses, so latency (ms) counts from when each request was due. Request classes, customers and retries
come from the operator file's [lab.load]. Writes a JSON line a second to --series and a summary to standard
output. "behind": true in the summary means that the tool itself could not keep the rate (p99 of its lag above 10 ms).`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			return runLoad(cmd, file, flags)
		}),
	}
	cmd.Flags().StringVar(&flags.target, "target", "127.0.0.1:8080", "loopback address to send to")
	cmd.Flags().Float64Var(&flags.rate, "rate", 200, "mean arrival rate, requests a second")
	cmd.Flags().Float64Var(&flags.duration, "duration", 10, "duration of the arrivals, seconds")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of every random draw")
	cmd.Flags().StringVar(&flags.series, "series", "", "file for the JSON lines, one a second")
	return cmd
}

func runLoad(cmd *cobra.Command, file operatorfile.File, flags loadFlags) error {
	traffic := &file.Lab.Load
	override(cmd, "target", &traffic.Target, flags.target)
	override(cmd, "rate", &traffic.Rate, flags.rate)
	override(cmd, "duration", &traffic.DurationS, flags.duration)
	override(cmd, "seed", &file.Lab.Seed, flags.seed)
	if err := checkFlags(file); err != nil {
		return err
	}
	generator := &load.Generator{Cfg: *traffic, Seed: file.Lab.Seed}
	return withSeries(flags.series, func(series io.Writer) error {
		generator.Series = series
		ctx, stop := contextUntilSignal(0)
		defer stop()
		result, err := generator.Run(ctx)
		if err != nil {
			return err
		}
		return printJSON(cmd, result.Summary())
	})
}
