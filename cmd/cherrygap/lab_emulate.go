package main

import (
	"time"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
)

// emulateFlags holds the flags of `lab emulate`.
type emulateFlags struct {
	servers  int
	listen   string
	schedule string
	seed     uint64
	duration time.Duration
}

func newEmulateCommand(operatorPath *string) *cobra.Command {
	var flags emulateFlags
	cmd := &cobra.Command{
		Use:   "emulate",
		Short: "Run emulated app servers with scripted faults until SIGINT/SIGTERM or --for",
		Long: `Run app servers that speak the platform's HTTP/1.1 on loopback. They have bounded concurrency, queue and
connections, log-normal service times (ms), warm-up, drain with a grace period, load reports, health checks,
and the faults of a schedule file (docs/lab.md). Prints one JSON line with the servers' addresses, and at the
end one with each server's counts. Defaults come from the operator file's [lab.emulator].`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			return runEmulate(cmd, file, flags)
		}),
	}
	cmd.Flags().IntVar(&flags.servers, "servers", 4, "number of app servers (1 to 512)")
	cmd.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "loopback address of the first server; port 0 for free ports")
	cmd.Flags().StringVar(&flags.schedule, "schedule", "", "fault schedule file (TOML); empty for none")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of every random draw")
	cmd.Flags().DurationVar(&flags.duration, "for", 0, "stop after this long (e.g. 30s); 0 waits for a signal")
	return cmd
}

func runEmulate(cmd *cobra.Command, file operatorfile.File, flags emulateFlags) error {
	cfg := &file.Lab.Emulator
	override(cmd, "servers", &cfg.Servers, flags.servers)
	override(cmd, "listen", &cfg.Listen, flags.listen)
	override(cmd, "schedule", &cfg.Schedule, flags.schedule)
	override(cmd, "seed", &file.Lab.Seed, flags.seed)
	if err := checkFlags(file); err != nil {
		return err
	}
	schedule, err := loadServerSchedule(cfg.Schedule, cfg.Servers)
	if err != nil {
		return err
	}
	fleet, err := emulator.Start(*cfg, file.Lab.Seed, schedule, newLabLog(file))
	if err != nil {
		return err
	}
	defer fleet.Close()
	announce(cmd, map[string]any{"servers": fleet.Addrs(), "faults": len(schedule.Faults)})
	ctx, stop := contextUntilSignal(flags.duration)
	defer stop()
	<-ctx.Done()
	stats := make([]emulator.Stats, len(fleet.Servers))
	for i, server := range fleet.Servers {
		stats[i] = server.Stats()
	}
	return printJSON(cmd, map[string]any{"stats": stats})
}

// loadServerSchedule reads a fault schedule for a fleet with the given number of app servers. For an empty path it returns a
// schedule without faults.
func loadServerSchedule(path string, servers int) (emulator.Schedule, error) {
	if path == "" {
		return emulator.Schedule{}, nil
	}
	return emulator.LoadSchedule(path, servers)
}
