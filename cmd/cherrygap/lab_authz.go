//go:build grpc

package main

import (
	"time"

	"github.com/spf13/cobra"

	"cherrygap/internal/lab/authz"
	"cherrygap/internal/operatorfile"
)

// newLabGRPCCommands returns the laboratory's commands that need the build tag grpc.
func newLabGRPCCommands(operatorPath *string) []*cobra.Command {
	return []*cobra.Command{newAuthzCommand(operatorPath)}
}

// authzFlags holds the flags of `lab authz`.
type authzFlags struct {
	listen   string
	duration time.Duration
	faults   authz.Config
}

func newAuthzCommand(operatorPath *string) *cobra.Command {
	var flags authzFlags
	cmd := &cobra.Command{
		Use:   "authz",
		Short: "Run a fake gRPC authorizer that denies requests, answers late, drops calls and restarts",
		Long: `Run Envoy's Authorization service on loopback until SIGINT/SIGTERM or --for. The service allows all but every nth
customer, answers late, drops calls, sends malformed answers and restarts; a seed determines its faults (docs/grpc.md).
Prints one JSON line with its address, and at the end one with the numbers of its answers and starts.`,
		Args: cobra.NoArgs,
		RunE: withLabFile(operatorPath, func(cmd *cobra.Command, file operatorfile.File) error {
			override(cmd, "seed", &file.Lab.Seed, flags.faults.Seed)
			flags.faults.Seed = file.Lab.Seed
			return runAuthz(cmd, flags)
		}),
	}
	faults := &flags.faults
	cmd.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "loopback address; port 0 for a free one")
	cmd.Flags().Uint64Var(&faults.Seed, "seed", 1, "seed of every random draw")
	cmd.Flags().Uint64Var(&faults.DenyEvery, "deny-every", 0, "deny customers whose number is divisible by this; 0 for none")
	cmd.Flags().DurationVar(&faults.MeanDelay, "delay", time.Millisecond, "mean delay of an answer")
	cmd.Flags().Float64Var(&faults.SlowProbability, "lag", 0, "probability (0 to 1) that an answer takes --lag-for longer")
	cmd.Flags().DurationVar(&faults.SlowDelay, "lag-for", time.Second, "additional delay of an answer chosen by --lag")
	cmd.Flags().Float64Var(&faults.DropProbability, "drop", 0, "probability (0 to 1) that a call ends without an answer")
	cmd.Flags().Float64Var(&faults.MalformedProbability, "malformed", 0, "probability (0 to 1) of a malformed answer")
	cmd.Flags().DurationVar(&faults.Uptime, "up-for", 0, "time from each start to the next restart; 0 for no restarts")
	cmd.Flags().DurationVar(&faults.Downtime, "down-for", time.Second, "how long the service is down in each restart")
	cmd.Flags().DurationVar(&flags.duration, "for", 0, "stop after this long (e.g. 30s); 0 waits for a signal")
	addDeprecatedFlag(cmd.Flags(), "odd", "malformed")
	return cmd
}

func runAuthz(cmd *cobra.Command, flags authzFlags) error {
	service, err := authz.Start(flags.listen, flags.faults)
	if err != nil {
		return err
	}
	defer service.Close()
	announce(cmd, map[string]any{"authoriser": service.Addr()})
	ctx, stop := contextUntilSignal(flags.duration)
	defer stop()
	<-ctx.Done()
	counts := service.Counts()
	return printJSON(cmd, map[string]any{"answers": counts.EndedCalls, "starts": counts.Starts})
}
