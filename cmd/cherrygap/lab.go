package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/lab/healthlab"
	"cherrygap/internal/lab/load"
	"cherrygap/internal/lab/model"
	"cherrygap/internal/lab/report"
	"cherrygap/internal/lab/scale"
	"cherrygap/internal/lab/store"
	"cherrygap/internal/operatorfile"
)

// newLab is the laboratory's commands. Each reads the operator file's [lab] part; flags hold over it.
func newLab(opFile *string) *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "The laboratory: emulated app servers and open-loop load, on loopback only"}
	lab.AddCommand(newEmulate(opFile), newLoad(opFile), newModel(opFile), newDuties(opFile), newStore(opFile), newReport(), newScale(opFile),
		newScaleServers(), newScaleNodes())
	for _, more := range moreLab {
		lab.AddCommand(more(opFile))
	}
	return lab
}

func labLog(op operatorfile.File) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(logLevel(op.Log.Level)).With().Timestamp().Logger()
}

// untilSignal gives a context that ends on SIGINT or SIGTERM, or after d when d is above 0.
func untilSignal(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	if d <= 0 {
		return ctx, stop
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}

// override sets dst, a value of the operator file, to the flag's v when the flag was given.
func override[T any](cmd *cobra.Command, flag string, dst *T, v T) {
	if cmd.Flags().Changed(flag) {
		*dst = v
	}
}

// checkFlags runs flags through the operator file's checks, so that a bad one names itself as a key.
func checkFlags(op operatorfile.File) error {
	faults := op.Validate()
	if len(faults) == 0 {
		return nil
	}
	msgs := make([]string, len(faults))
	for i, f := range faults {
		msgs[i] = f.Error()
	}
	return fmt.Errorf("%s", strings.Join(msgs, "; "))
}

func newEmulate(opFile *string) *cobra.Command {
	var servers int
	var listen, schedule string
	var seed uint64
	var runFor time.Duration
	cmd := &cobra.Command{
		Use:   "emulate",
		Short: "Run emulated app servers with scripted faults until SIGINT/SIGTERM or --for",
		Long: `Run app servers that speak the platform's HTTP/1.1 on loopback: bounded concurrency, queue and
connections, log-normal service times (ms), warm-up when cold, drain with grace, load reports and probes,
and the faults of a schedule file (docs/lab.md). Prints one JSON line with the servers' addresses, and at the
end one with each server's counts. Defaults come from the operator file's [lab.emulator].`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			e := op.Lab.Emulator
			override(cmd, "servers", &e.Servers, servers)
			override(cmd, "listen", &e.Listen, listen)
			override(cmd, "schedule", &e.Schedule, schedule)
			override(cmd, "seed", &op.Lab.Seed, seed)
			op.Lab.Emulator = e
			if err := checkFlags(op); err != nil {
				return err
			}
			var sched emulator.Schedule
			if e.Schedule != "" {
				if sched, err = emulator.LoadSchedule(e.Schedule, e.Servers); err != nil {
					return err
				}
			}
			log := labLog(op)
			fleet, err := emulator.Start(e, op.Lab.Seed, sched, log)
			if err != nil {
				return err
			}
			defer fleet.Close()
			out := json.NewEncoder(cmd.OutOrStdout())
			_ = out.Encode(map[string]any{"servers": fleet.Addrs(), "faults": len(sched.Faults)})
			ctx, stop := untilSignal(runFor)
			defer stop()
			<-ctx.Done()
			stats := make([]emulator.Stats, len(fleet.Servers))
			for i, s := range fleet.Servers {
				stats[i] = s.Stats()
			}
			return out.Encode(map[string]any{"stats": stats})
		},
	}
	cmd.Flags().IntVar(&servers, "servers", 4, "how many servers (1 to 512)")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "loopback address of the first server; port 0 for free ports")
	cmd.Flags().StringVar(&schedule, "schedule", "", "fault schedule file (TOML); empty for none")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of every random draw")
	cmd.Flags().DurationVar(&runFor, "for", 0, "stop after this long (e.g. 30s); 0 waits for a signal")
	return cmd
}

func newLoad(opFile *string) *cobra.Command {
	var target, series string
	var rate, duration float64
	var seed uint64
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to an edge node or a server on loopback and summarise it",
		Long: `Send tickets as the platform's clients do, at Poisson arrivals (tickets a second, with bursts) that
do not wait for answers: latency (ms) counts from when each ticket was due. Bands, customers and retries
come from the operator file's [lab.load]. Writes a JSON line a second to --series and a summary to standard
output; "behind": true says the tool itself could not keep the rate (p99 of its lag above 10 ms).`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			l := op.Lab.Load
			override(cmd, "target", &l.Target, target)
			override(cmd, "rate", &l.Rate, rate)
			override(cmd, "duration", &l.DurationS, duration)
			override(cmd, "seed", &op.Lab.Seed, seed)
			op.Lab.Load = l
			if err := checkFlags(op); err != nil {
				return err
			}
			tool := &load.Tool{Cfg: l, Seed: op.Lab.Seed}
			if series != "" {
				f, err := os.Create(series)
				if err != nil {
					return err
				}
				defer f.Close()
				tool.Series = f
			}
			ctx, stop := untilSignal(0)
			defer stop()
			res, err := tool.Run(ctx)
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(res.Summary())
		},
	}
	cmd.Flags().StringVar(&target, "target", "127.0.0.1:8080", "loopback address to send to")
	cmd.Flags().Float64Var(&rate, "rate", 200, "mean arrivals, tickets a second")
	cmd.Flags().Float64Var(&duration, "duration", 10, "how long arrivals go on, seconds")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of every random draw")
	cmd.Flags().StringVar(&series, "series", "", "file for the JSON lines, one a second")
	return cmd
}

func newModel(opFile *string) *cobra.Command {
	var nodes, servers, customers, spread int
	var seconds, rate float64
	var seed uint64
	var policy, schedule, series, platform string
	cmd := &cobra.Command{
		Use:   "model",
		Short: "Play a fleet in virtual time: N nodes on the real module (or a baseline), M modelled servers",
		Long: `Play the fleet in virtual time, one event at a time: each of --nodes edge nodes runs the real decision
module through internal/routing (policy "module"), or a baseline ("round-robin" with a static limit, "late":
least busy as seen a second ago), against --servers modelled app servers with the emulator's figures and
fault schedule. Arrivals are the load tool's, at --rate tickets a second for the whole fleet. Prints the
totals as one JSON line (goodput, p50/p99 in ms, single-use tickets run twice, tickets left unanswered,
virtual seconds per real second); --series writes one JSON line per virtual second for "lab report".
The same flags and seed give the same run. Figures are of simulated servers.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			override(cmd, "seed", &op.Lab.Seed, seed)
			srv := op.Lab.Emulator
			srv.Servers = servers
			tr := op.Lab.Load
			tr.Rate = rate
			override(cmd, "customers", &tr.Customers, customers)
			override(cmd, "spread", &tr.Spread, spread)
			if schedule == "" {
				schedule = srv.Schedule
			}
			var sched emulator.Schedule
			if schedule != "" {
				if sched, err = emulator.LoadSchedule(schedule, servers); err != nil {
					return err
				}
			}
			cfg := model.Config{
				Nodes: nodes, Seconds: seconds, Policy: model.Policy(policy), Seed: op.Lab.Seed,
				Traffic: tr, Server: srv, Schedule: sched,
			}
			if platform != "" {
				raw, err := os.ReadFile(platform)
				if err != nil {
					return err
				}
				c, err := parseConfig(raw, func(string) string { return "" })
				if err != nil {
					return fmt.Errorf("%s: %w", platform, err)
				}
				cfg.Settings = c.set
			}
			rec := model.NewRecorder(nil)
			if series != "" {
				f, err := os.Create(series)
				if err != nil {
					return err
				}
				defer f.Close()
				rec.Series = f
			}
			sim, err := model.New(cfg, rec)
			if err != nil {
				return err
			}
			totals := sim.Run()
			if err := rec.Err(); err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(totals)
		},
	}
	f := cmd.Flags()
	f.IntVar(&nodes, "nodes", 10, "edge nodes")
	f.IntVar(&servers, "servers", 20, "app servers")
	f.Float64Var(&seconds, "seconds", 60, "virtual seconds of arrivals")
	f.Float64Var(&rate, "rate", 1000, "tickets a second for the whole fleet")
	f.Uint64Var(&seed, "seed", 1, "seed of every random draw")
	f.StringVar(&policy, "policy", "module", "module, round-robin or late")
	f.StringVar(&schedule, "schedule", "", "fault schedule file (TOML), as for lab emulate")
	f.StringVar(&series, "series", "", "file for the JSON lines, one a virtual second")
	f.IntVar(&customers, "customers", 50, "distinct customers (Zipf); default from the operator file")
	f.IntVar(&spread, "spread", 1, "edge nodes in a customer's set; default from the operator file")
	f.StringVar(&platform, "settings", "", "a platform configuration (JSON) whose settings the module takes")
	return cmd
}

func newReport() *cobra.Command {
	var dir, title string
	cmd := &cobra.Command{
		Use:   "report SERIES...",
		Short: "Plot series of lab model or lab load runs (PNG) and tabulate them (Markdown)",
		Long: `Read one or more series (JSON lines, one a second, from "lab model --series" or "lab load --series"),
each named by its file, and write into --out: goodput.png (completed a second), latency.png (p99 in ms),
outcomes.png (not completed a second), load.png (busiest server, where the series carry load) and report.md
(totals per run). The same series give the same files byte for byte. Prints the files written.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var runs []report.Run
			for _, path := range files {
				r, err := report.Read(path)
				if err != nil {
					return err
				}
				runs = append(runs, r)
			}
			written, err := report.Write(dir, title, runs)
			for _, w := range written {
				fmt.Fprintln(cmd.OutOrStdout(), w)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&dir, "out", "report", "folder for the plots and the table")
	cmd.Flags().StringVar(&title, "title", "cherrygap lab", "title of the plots and the table")
	return cmd
}

func newDuties(opFile *string) *cobra.Command {
	var cfg healthlab.Config
	cmd := &cobra.Command{
		Use:   "duties",
		Short: "Play the fleet's shared duties in virtual time and say how long servers went unchecked",
		Long: `Run the real membership and duties of N nodes over datagrams that are late, lost, doubled and out of
order, through a scenario (calm, vanish, flap, split, lossy) in the middle third of the run. Prints one JSON
line: worst time a server went unchecked (s), doubled checks, bytes a node and second, and how long after
the trouble all agree on who lives. --check and --bytes come from the operator file's [duties].`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			cfg.Every, cfg.Bytes = time.Duration(op.HealthChecks.IntervalMs*float64(time.Millisecond)), op.HealthChecks.MaxBytesPerS
			res, err := healthlab.Play(cfg)
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(res)
		},
	}
	cmd.Flags().IntVar(&cfg.Nodes, "nodes", 80, "edge nodes, 2 or more")
	cmd.Flags().IntVar(&cfg.Servers, "servers", 60, "app servers, 1 or more")
	cmd.Flags().DurationVar(&cfg.For, "for", 2*time.Minute, "virtual time")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "seed of every random draw")
	cmd.Flags().StringVar(&cfg.Scenario, "scenario", "vanish", strings.Join(healthlab.Scenarios, ", "))
	cmd.Flags().Float64Var(&cfg.Take, "take", 40, "messages a second that a node takes in, of all kinds")
	return cmd
}

func newStore(opFile *string) *cobra.Command {
	var listen, schedule string
	var seed uint64
	var runFor time.Duration
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in for a shared store that speaks Redis's protocol, with scripted faults",
		Long: `Run a store on loopback that speaks RESP2 (the few commands that leased quotas use) until SIGINT/SIGTERM or
--for, with the faults of a schedule file: stall, slow, cut, empty, failover, forget, full, split
(docs/quota.md). Prints one JSON line with its address, and at the end one with the commands it carried out.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			override(cmd, "seed", &op.Lab.Seed, seed)
			var faults []store.Fault
			if schedule != "" {
				if faults, err = store.LoadSchedule(schedule); err != nil {
					return err
				}
			}
			s, err := store.Start(listen, op.Lab.Seed, faults)
			if err != nil {
				return err
			}
			defer s.Close()
			out := json.NewEncoder(cmd.OutOrStdout())
			_ = out.Encode(map[string]any{"store": s.Addr(), "faults": len(faults)})
			ctx, stop := untilSignal(runFor)
			defer stop()
			<-ctx.Done()
			return out.Encode(map[string]any{"applied": s.Applied()})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "loopback address; port 0 for a free one")
	cmd.Flags().StringVar(&schedule, "schedule", "", "fault schedule file (TOML); empty for none")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of every random draw")
	cmd.Flags().DurationVar(&runFor, "for", 0, "stop after this long (e.g. 30s); 0 waits for a signal")
	return cmd
}

func newScale(opFile *string) *cobra.Command {
	cfg := scale.Default()
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "Play the target size on one machine: real and hollow nodes, hollow app servers, scripted troubles",
		Long: `Start a few real edge nodes (processes of this program), hollow nodes (the real module and real datagrams,
but no client sockets; one process for all), hollow app servers (a listener each; one process for all), a stand-in
for discovery's agent and open-loop clients, all on loopback; play troubles one after another (changes, roll, zone,
watch); end all that was started; and print one JSON line: what a node adds to a request (ms), its core share, memory,
bytes by kind of message, seconds until a change is in force, and counts that must be 0 (docs/lab.md, "Scale").
It says what descriptors it lacks, if any, before it starts anything, and raises no limit.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("seed") {
				cfg.Seed = op.Lab.Seed
			}
			log := labLog(op)
			cfg.Log = &log
			if cfg.Program, err = os.Executable(); err != nil {
				return err
			}
			ctx, stop := untilSignal(0)
			defer stop()
			res, err := scale.Run(ctx, cfg)
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(res)
		},
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Nodes, "nodes", cfg.Nodes, "edge nodes of the tier")
	f.IntVar(&cfg.Real, "real", cfg.Real, "real ones, a process each (1 to 64)")
	f.IntVar(&cfg.Hollow, "hollow", cfg.Hollow, "hollow ones; below 0 for all the others")
	f.IntVar(&cfg.Servers, "servers", cfg.Servers, "app servers; one in fifty more stand by to come in")
	f.IntVar(&cfg.Tenants, "tenants", cfg.Tenants, "tenants (Zipf)")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests a second at a real node, mean")
	f.Float64Var(&cfg.HollowRate, "hollow-rate", cfg.HollowRate, "requests a second at a hollow node, mean")
	f.Float64Var(&cfg.Straight, "straight", cfg.Straight, "part of the completed requests that is sent once more, straight to the same server")
	f.Float64Var(&cfg.Take, "take", cfg.Take, "messages a second that a node takes in from peers, as the settings tell it")
	f.DurationVar(&cfg.For, "for", cfg.For, "how long to play, from the first request on")
	f.DurationVar(&cfg.Hard, "hard", 0, "end everything after so long; 0 for two minutes more than --for")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of every random draw")
	f.StringSliceVar(&cfg.Troubles, "trouble", nil, "troubles to play, of "+strings.Join(scale.Troubles, ", ")+"; default all")
	f.IntVar(&cfg.Sockets, "sockets", cfg.Sockets, "descriptors of each real node")
	f.IntVar(&cfg.MemoryMB, "memory-mb", cfg.MemoryMB, "memory that each real node is told it has, MiB")
	f.StringVar(&cfg.Dir, "dir", "", "folder for configuration files and children's logs, kept; default one that is removed")
	return cmd
}

// newScaleServers and newScaleNodes are the children of lab scale.
func newScaleServers() *cobra.Command {
	many, seed := 0, uint64(0)
	cmd := &cobra.Command{
		Use: "scale-servers", Hidden: true, Args: cobra.NoArgs, Short: "The hollow app servers of lab scale",
		RunE: func(cmd *cobra.Command, _ []string) error { return scale.Servers(many, seed, os.Stdin, os.Stdout) },
	}
	cmd.Flags().IntVar(&many, "many", 1, "how many")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the service times")
	return cmd
}

func newScaleNodes() *cobra.Command {
	return &cobra.Command{
		Use: "scale-nodes", Hidden: true, Args: cobra.NoArgs, Short: "The hollow nodes of lab scale",
		RunE: func(*cobra.Command, []string) error { return scale.Hollow(os.Stdin, os.Stdout) },
	}
}
