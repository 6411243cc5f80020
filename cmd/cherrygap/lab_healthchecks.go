package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/healthlab"
	"cherrygap/internal/numeric"
	"cherrygap/internal/operatorfile"
)

func newHealthChecksCommand(operatorPath *string) *cobra.Command {
	var cfg healthlab.Config
	cmd := &cobra.Command{
		Use:   "health-checks",
		Short: "Simulate the fleet's shared health checks in virtual time and print how long servers went unchecked",
		Long: `Run the real membership and health checks of N nodes over datagrams that are late, lost, duplicated and out of
order. A scenario (calm, vanish, flap, split, lossy) takes place in the middle third of the run. Prints one JSON
line: the longest time a server went unchecked (s), duplicate checks, bytes per node and second, and how long after
the fault all nodes agree on which nodes are alive. The check interval and the byte limit come from the operator
file's [health_checks].`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			cfg.Interval = numeric.Truncate[time.Duration](file.HealthChecks.IntervalMs * float64(time.Millisecond))
			cfg.SendRate = file.HealthChecks.MaxBytesPerS
			result, err := healthlab.Simulate(cfg)
			if err != nil {
				return err
			}
			return printJSON(cmd, result)
		}),
	}
	flags := cmd.Flags()
	flags.IntVar(&cfg.Nodes, "nodes", 80, "number of edge nodes, 2 or more")
	flags.IntVar(&cfg.Servers, "servers", 60, "number of app servers, 1 or more")
	flags.DurationVar(&cfg.Duration, "for", 2*time.Minute, "length of the run in virtual time")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of every random draw")
	flags.StringVar(&cfg.Scenario, "scenario", "vanish", strings.Join(healthlab.Scenarios, ", "))
	flags.Float64Var(&cfg.ReceiveRate, "peer-rate", 40, "messages a second, of all kinds, that a node receives from peers")
	return cmd
}

// newDutiesCommand returns lab health-checks under its deprecated name, with the deprecated name of its flag too.
func newDutiesCommand(operatorPath *string) *cobra.Command {
	cmd := deprecateCommand(newHealthChecksCommand(operatorPath), "duties", "lab health-checks")
	addDeprecatedFlag(cmd.Flags(), "take", "peer-rate")
	return cmd
}
