package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/healthlab"
	"cherrygap/internal/operatorfile"
)

func newHealthChecksCommand(operatorPath *string) *cobra.Command {
	var cfg healthlab.Config
	cmd := &cobra.Command{
		Use:   "health-checks",
		Short: "Play the fleet's shared health checks in virtual time and say how long servers went unchecked",
		Long: `Run the real membership and health checks of N nodes over datagrams that are late, lost, duplicated and out of
order, through a scenario (calm, vanish, flap, split, lossy) in the middle third of the run. Prints one JSON
line: worst time a server went unchecked (s), duplicate checks, bytes a node and second, and how long after
the fault all agree on which nodes live. The check interval and the byte limit come from the operator file's [health_checks].`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			cfg.Interval = time.Duration(file.HealthChecks.IntervalMs * float64(time.Millisecond))
			cfg.SendRate = file.HealthChecks.MaxBytesPerS
			result, err := healthlab.Play(cfg)
			if err != nil {
				return err
			}
			return printJSON(cmd, result)
		}),
	}
	flags := cmd.Flags()
	flags.IntVar(&cfg.Nodes, "nodes", 80, "edge nodes, 2 or more")
	flags.IntVar(&cfg.Servers, "servers", 60, "app servers, 1 or more")
	flags.DurationVar(&cfg.Duration, "for", 2*time.Minute, "virtual time")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of every random draw")
	flags.StringVar(&cfg.Scenario, "scenario", "vanish", strings.Join(healthlab.Scenarios, ", "))
	flags.Float64Var(&cfg.ReceiveRate, "peer-rate", 40, "messages a second that a node receives from peers, of all kinds")
	return cmd
}

// newDutiesCommand makes the old name of lab health-checks, with the old name of its flag.
func newDutiesCommand(operatorPath *string) *cobra.Command {
	cmd := deprecateCommand(newHealthChecksCommand(operatorPath), "duties", "lab health-checks")
	addDeprecatedFlag(cmd.Flags(), "take", "peer-rate")
	return cmd
}
