package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/report"
)

func newReportCommand() *cobra.Command {
	var dir, title string
	cmd := &cobra.Command{
		Use:   "report SERIES...",
		Short: "Plot series of lab model or lab load runs (PNG) and tabulate them (Markdown)",
		Long: `Read one or more series (JSON lines, one a second, from "lab model --series" or "lab load --series"),
each named by its file, and write into --out: goodput.png (requests completed a second), latency.png (p99 in ms),
outcomes.png (requests not completed a second), load.png (the busiest server, where the series carry load) and
report.md (totals per run). The same series give the same files byte for byte. Prints the paths of the files written.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			return runReport(cmd, paths, dir, title)
		},
	}
	cmd.Flags().StringVar(&dir, "out", "report", "directory for the plots and the table")
	cmd.Flags().StringVar(&title, "title", "cherrygap lab", "title of the plots and the table")
	return cmd
}

func runReport(cmd *cobra.Command, paths []string, dir, title string) error {
	runs := make([]report.Run, 0, len(paths))
	for _, path := range paths {
		run, err := report.Read(path)
		if err != nil {
			return err
		}
		runs = append(runs, run)
	}
	written, err := report.Write(dir, title, runs)
	for _, path := range written {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), path)
	}
	return err
}
