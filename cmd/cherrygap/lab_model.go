package main

import (
	"io"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/model"
	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

// modelFlags holds the flags of `lab model`.
type modelFlags struct {
	nodes, servers int
	seconds        float64 // duration of the arrivals in virtual seconds
	rate           float64 // requests a second for the whole fleet
	seed           uint64
	policy         string
	schedule       string
	series         string
	customers      int
	spread         int
	platformFile   string
}

func newModelCommand(operatorPath *string) *cobra.Command {
	var flags modelFlags
	cmd := &cobra.Command{
		Use:   "model",
		Short: "Simulate a fleet in virtual time: N nodes with the real decision engine (or a baseline), M modelled servers",
		Long: `Simulate the fleet in virtual time, one event at a time. Each of --nodes edge nodes runs the real decision
engine through internal/routing (policy "module") or a baseline policy. The baselines are "round-robin", with a
static limit, and "late", which chooses the server that was least busy a second ago. The --servers modelled app
servers have the emulator's settings and fault schedule. Arrivals are the load tool's, at --rate requests a second
for the whole fleet. Prints the totals as one JSON line (goodput, p50/p99 in ms, unsafe requests executed twice,
requests left unanswered, virtual seconds per real second); --series writes one JSON line per virtual second for
"lab report". The same flags and seed give the same run. The results are those of simulated servers.`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			return runModel(cmd, file, flags)
		}),
	}
	cmd.Flags().IntVar(&flags.nodes, "nodes", 10, "number of edge nodes")
	cmd.Flags().IntVar(&flags.servers, "servers", 20, "number of app servers")
	cmd.Flags().Float64Var(&flags.seconds, "seconds", 60, "virtual seconds of arrivals")
	cmd.Flags().Float64Var(&flags.rate, "rate", 1000, "requests a second for the whole fleet")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of every random draw")
	cmd.Flags().StringVar(&flags.policy, "policy", "module", "policy of the nodes: module, round-robin or late")
	cmd.Flags().StringVar(&flags.schedule, "schedule", "", "fault schedule file (TOML), as for lab emulate")
	cmd.Flags().StringVar(&flags.series, "series", "", "file for the JSON lines, one a virtual second")
	cmd.Flags().IntVar(&flags.customers, "customers", 50, "distinct customers (Zipf); default from the operator file")
	cmd.Flags().IntVar(&flags.spread, "spread", 1, "edge nodes that a customer's requests go to; default from the operator file")
	cmd.Flags().StringVar(&flags.platformFile, "settings", "", "platform configuration (JSON) with the decision engine's settings")
	return cmd
}

func runModel(cmd *cobra.Command, file operatorfile.File, flags modelFlags) error {
	cfg, err := modelConfig(cmd, file, flags)
	if err != nil {
		return err
	}
	return withSeries(flags.series, func(series io.Writer) error {
		recorder := model.NewRecorder(series)
		fleet, err := model.New(cfg, recorder)
		if err != nil {
			return err
		}
		totals := fleet.Run()
		if err := recorder.Err(); err != nil {
			return err
		}
		return printJSON(cmd, totals)
	})
}

// modelConfig returns the model's configuration. Flags take precedence over the operator file.
func modelConfig(cmd *cobra.Command, file operatorfile.File, flags modelFlags) (model.Config, error) {
	override(cmd, "seed", &file.Lab.Seed, flags.seed)
	server := file.Lab.Emulator
	server.Servers = flags.servers
	traffic := file.Lab.Load
	traffic.Rate = flags.rate
	override(cmd, "customers", &traffic.Customers, flags.customers)
	override(cmd, "spread", &traffic.Spread, flags.spread)
	cfg := model.Config{
		Nodes: flags.nodes, Seconds: flags.seconds, Policy: model.Policy(flags.policy), Seed: file.Lab.Seed,
		Traffic: traffic, Server: server,
	}
	schedulePath := flags.schedule
	if schedulePath == "" {
		schedulePath = server.Schedule
	}
	var err error
	if cfg.Schedule, err = loadServerSchedule(schedulePath, flags.servers); err != nil {
		return model.Config{}, err
	}
	if flags.platformFile != "" {
		platform, err := node.LoadPlatformFile(flags.platformFile)
		if err != nil {
			return model.Config{}, err
		}
		cfg.Settings = platform.EngineSettings()
	}
	return cfg, nil
}
