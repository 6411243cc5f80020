package main

import (
	"time"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/store"
	"cherrygap/internal/operatorfile"
)

// storeFlags holds the flags of `lab store`.
type storeFlags struct {
	listen   string
	schedule string
	seed     uint64
	duration time.Duration
}

func newStoreCommand(operatorPath *string) *cobra.Command {
	var flags storeFlags
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run a fake shared store that speaks Redis's protocol, with scripted faults",
		Long: `Run a store on loopback that speaks RESP2 (the few commands that leased quotas use) until SIGINT/SIGTERM or
--for, with the faults of a schedule file: stall, slow, cut, empty, failover, forget, full, split
(docs/quota.md). Prints one JSON line with its address, and at the end one with the commands it executed.`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			return runStore(cmd, file, flags)
		}),
	}
	cmd.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "loopback address; port 0 for a free one")
	cmd.Flags().StringVar(&flags.schedule, "schedule", "", "fault schedule file (TOML); empty for none")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of every random draw")
	cmd.Flags().DurationVar(&flags.duration, "for", 0, "stop after this long (e.g. 30s); 0 waits for a signal")
	return cmd
}

func runStore(cmd *cobra.Command, file operatorfile.File, flags storeFlags) error {
	override(cmd, "seed", &file.Lab.Seed, flags.seed)
	var faults []store.Fault
	if flags.schedule != "" {
		var err error
		if faults, err = store.LoadSchedule(flags.schedule); err != nil {
			return err
		}
	}
	server, err := store.Start(flags.listen, file.Lab.Seed, faults)
	if err != nil {
		return err
	}
	defer server.Close()
	announce(cmd, map[string]any{"store": server.Addr(), "faults": len(faults)})
	ctx, stop := contextUntilSignal(flags.duration)
	defer stop()
	<-ctx.Done()
	return printJSON(cmd, map[string]any{"applied": server.CommandCounts()})
}
