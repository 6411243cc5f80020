package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/soak"
	"cherrygap/internal/lab/syscallfault"
	"cherrygap/internal/operatorfile"
)

func newSoakCommand(operatorPath *string) *cobra.Command {
	cfg := soak.Default()
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run real nodes under overlapping faults and check the node's invariants",
		Long: `Start edge nodes (processes of this program), app servers, a fake discovery agent and open-loop clients on loopback.
Cause overlapping faults (signals, system calls that fail, servers, connections, clients and discovery that misbehave),
and check every request and attempt against docs/invariants.md. Then stop everything that was started, and print one
JSON line. Exit code 2 if any invariant was violated. The same seed draws the same faults (docs/lab.md, "Soak").`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			override(cmd, "seed", &file.Lab.Seed, cfg.Seed)
			cfg.Seed = file.Lab.Seed
			return runSoak(cmd, file, cfg)
		}),
	}
	flags := cmd.Flags()
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of every random draw")
	flags.DurationVar(&cfg.Duration, "for", cfg.Duration, "how long clients send requests and faults occur")
	flags.IntVar(&cfg.Nodes, "nodes", cfg.Nodes, "number of edge nodes, a process each (1 to 100)")
	flags.IntVar(&cfg.Servers, "servers", cfg.Servers, "number of app servers (2 to 200)")
	flags.Float64Var(&cfg.Rate, "rate", cfg.Rate, "mean requests a second at a node")
	flags.StringSliceVar(&cfg.Faults, "fault", nil, "faults to cause, of "+strings.Join(soak.FaultNames(), ", ")+"; default all")
	flags.StringVar(&cfg.Dir, "dir", "", "directory for configuration files and the nodes' logs, which is kept; default a temporary one")
	return cmd
}

func runSoak(cmd *cobra.Command, file operatorfile.File, cfg soak.Config) error {
	log := newLabLog(file)
	cfg.Log = &log
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		return err
	}
	ctx, stop := contextUntilSignal(0)
	defer stop()
	result, err := soak.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := printJSON(cmd, result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d invariant violations", len(result.Violations))
	}
	return nil
}

// newSoakNodeCommand returns the command of lab soak's child process. The process installs the system call filter on itself and
// then executes a node in its place.
func newSoakNodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:    soak.NodeCommand[len(soak.NodeCommand)-1], // NodeCommand without its parent command, lab
		Short:  "A node of lab soak",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			return syscallfault.Exec(syscallfault.InheritedSocket, soak.FaultyCalls, program, []string{program, serveCommandName}, os.Environ())
		},
	}
}
