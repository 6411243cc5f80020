//go:build grpc

package main

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"cherrygap/internal/grpcfrontend"
	"cherrygap/internal/lab/authz"
	"cherrygap/internal/transport"
)

func init() {
	dialAuthoriser = func(c *config) (authoriser, error) {
		cfg, bands, err := c.checks()
		if err != nil {
			return nil, err
		}
		return grpcfrontend.DialAuthorizer(c.authz.Service, cfg, bands)
	}
	listenGRPC = func(c *config, front *transport.Server) (func(), error) {
		methods, err := grpcfrontend.HTTPMethods(c.set)
		if err != nil {
			return nil, err
		}
		f, err := grpcfrontend.Listen(c.grpc.Listen, front, methods, uint32(c.grpc.MaxCalls))
		if err != nil {
			return nil, err
		}
		return f.Drain, nil
	}
	moreLab = append(moreLab, newAuthz)
}

func newAuthz(opFile *string) *cobra.Command {
	var cfg authz.Config
	var listen string
	var runFor time.Duration
	cmd := &cobra.Command{
		Use:   "authz",
		Short: "Run a stand-in authoriser over gRPC that denies, lags, drops calls and restarts",
		Long: `Run Envoy's Authorization service on loopback until SIGINT/SIGTERM or --for: allows all but every nth customer,
answers late, drops calls, answers nonsense and restarts, from a seed (docs/grpc.md). Prints one JSON line with
its address, and at the end one with its answers and starts.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := loadOperator(*opFile)
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("seed") {
				cfg.Seed = op.Lab.Seed
			}
			s, err := authz.Start(listen, cfg)
			if err != nil {
				return err
			}
			defer s.Close()
			out := json.NewEncoder(cmd.OutOrStdout())
			_ = out.Encode(map[string]any{"authoriser": s.Addr()})
			ctx, stop := untilSignal(runFor)
			defer stop()
			<-ctx.Done()
			answers, starts := s.Counts()
			return out.Encode(map[string]any{"answers": answers, "starts": starts})
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "loopback address; port 0 for a free one")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of every random draw")
	f.Uint64Var(&cfg.DenyEvery, "deny-every", 0, "deny customers whose number divides by this; 0 for none")
	f.DurationVar(&cfg.MeanDelay, "delay", time.Millisecond, "mean time of an answer")
	f.Float64Var(&cfg.SlowProbability, "lag", 0, "chance that an answer takes --lag-for longer")
	f.DurationVar(&cfg.SlowDelay, "lag-for", time.Second, "how much longer")
	f.Float64Var(&cfg.DropProbability, "drop", 0, "chance that a call ends without an answer")
	f.Float64Var(&cfg.MalformedProbability, "odd", 0, "chance of an answer that makes no sense")
	f.DurationVar(&cfg.Uptime, "up-for", 0, "restart after so long, each time; 0 for never")
	f.DurationVar(&cfg.Downtime, "down-for", time.Second, "how long it is down then")
	f.DurationVar(&runFor, "for", 0, "stop after this long (e.g. 30s); 0 waits for a signal")
	return cmd
}
