package main

import (
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/scale"
	"cherrygap/internal/operatorfile"
)

func newScaleCommand(operatorPath *string) *cobra.Command {
	cfg := scale.Default()
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "Run a fleet of the target size on one machine: real and simulated nodes, simulated app servers, scripted faults",
		Long: `Start a few real edge nodes (processes of this program), simulated nodes (the real decision engine and real datagrams,
but no client sockets; one process for all), simulated app servers (a listener each; one process for all), a fake
discovery agent and open-loop clients, all on loopback. Then cause faults one after another (changes, roll, zone,
watch), stop everything that was started, and print one JSON line: the latency that a node adds to a request (ms), its
core share, memory, bytes by kind of message, seconds until a change is in force, and counts that must be 0
(docs/lab.md, "Scale"). Before it starts anything, the command checks the limits on file descriptors; its error names
one that is too low. It raises no limit.`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			override(cmd, "seed", &file.Lab.Seed, cfg.Seed)
			cfg.Seed = file.Lab.Seed
			return runScale(cmd, file, cfg)
		}),
	}
	addScaleFlags(cmd, &cfg)
	return cmd
}

func addScaleFlags(cmd *cobra.Command, cfg *scale.Config) {
	flags := cmd.Flags()
	flags.IntVar(&cfg.Nodes, "nodes", cfg.Nodes, "number of edge nodes in the nodes' settings")
	flags.IntVar(&cfg.Real, "real", cfg.Real, "real nodes, a process each (1 to 64)")
	flags.IntVar(&cfg.Simulated, "simulated", cfg.Simulated, "simulated nodes; below 0 for all nodes that are not real")
	flags.IntVar(&cfg.Servers, "servers", cfg.Servers, "app servers listed at first; one spare for every 50 is started and listed later")
	flags.IntVar(&cfg.Tenants, "tenants", cfg.Tenants, "number of tenants (Zipf)")
	flags.Float64Var(&cfg.Rate, "rate", cfg.Rate, "mean requests a second at a real node")
	flags.Float64Var(&cfg.SimulatedRate, "simulated-rate", cfg.SimulatedRate, "mean requests a second at a simulated node")
	flags.Float64Var(&cfg.DirectShare, "direct", cfg.DirectShare,
		"share of the real nodes' completed requests that is sent once more, directly to the same server")
	flags.Float64Var(&cfg.PeerRate, "peer-rate", cfg.PeerRate, "messages a second that a node receives from peers, in the nodes' settings")
	flags.DurationVar(&cfg.Duration, "for", cfg.Duration, "duration of the run, from the first request on")
	flags.DurationVar(&cfg.TimeLimit, "time-limit", 0, "stop the whole run after this time; 0 for two minutes more than --for")
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of every random draw")
	flags.StringSliceVar(&cfg.Faults, "fault", nil, "faults to cause, of "+strings.Join(scale.Faults, ", ")+"; default all")
	flags.IntVar(&cfg.Sockets, "sockets", cfg.Sockets, "file descriptors of each real node")
	flags.IntVar(&cfg.MemoryMB, "memory-mb", cfg.MemoryMB, "memory limit of each real node, MiB")
	flags.StringVar(&cfg.Dir, "dir", "", "directory for configuration files and children's logs, which is kept; default a temporary one")
	addDeprecatedFlag(flags, "hollow", "simulated")
	addDeprecatedFlag(flags, "hollow-rate", "simulated-rate")
	addDeprecatedFlag(flags, "straight", "direct")
	addDeprecatedFlag(flags, "take", "peer-rate")
	addDeprecatedFlag(flags, "hard", "time-limit")
	addDeprecatedFlag(flags, "trouble", "fault")
}

func runScale(cmd *cobra.Command, file operatorfile.File, cfg scale.Config) error {
	log := newLabLog(file)
	cfg.Log = &log
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		return err
	}
	ctx, stop := contextUntilSignal(0)
	defer stop()
	result, err := scale.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return printJSON(cmd, result)
}

// newScaleServersCommand returns the command of lab scale's child process that runs the simulated app servers.
func newScaleServersCommand() *cobra.Command {
	var count int
	var seed uint64
	cmd := &cobra.Command{
		Use:    "scale-servers",
		Short:  "The simulated app servers of lab scale",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return scale.RunServers(count, seed, os.Stdin, os.Stdout)
		},
	}
	cmd.Flags().IntVar(&count, "count", 1, "number of servers")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the service times")
	addDeprecatedFlag(cmd.Flags(), "many", "count")
	return cmd
}

// newScaleNodesCommand returns the command of lab scale's child process that runs the simulated nodes.
func newScaleNodesCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "scale-simulated-nodes",
		Short:  "The simulated nodes of lab scale",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return scale.RunNodes(os.Stdin, os.Stdout)
		},
	}
}
