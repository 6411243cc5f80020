package grpcfrontend

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	auth "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"

	"cherrygap/internal/authz"
	"cherrygap/internal/protocol"
)

// Of connections to the authorizer, which gRPC makes anew by itself, and of the latencies that are kept.
const (
	firstReconnect   = 50 * time.Millisecond
	reconnectGrowth  = 1.6
	reconnectJitter  = 0.3
	maxReconnect     = time.Second
	connectTimeout   = time.Second
	maxLatency       = time.Minute // longer ones count as that
	latencyPrecision = 2           // significant digits
)

// Authorizer asks an external authorizer about requests, as an authz.Policy decides. It is a frontend.Authorizer, for any
// number of goroutines.
type Authorizer struct {
	conn      *grpc.ClientConn
	client    auth.AuthorizationClient
	classes   map[string]int // their numbers, by name
	startedAt time.Time      // the policy's time is since then

	mu        sync.Mutex // guards the rest
	policy    *authz.Policy
	latencies *hdrhistogram.Histogram // of checks that ended, microseconds
}

// DialAuthorizer readies an authorizer at an address and port; it does not wait for it. Classes are the numbers of the
// decision engine's classes by name, as cfg has them. Close ends it.
func DialAuthorizer(addr string, cfg authz.Config, classes map[string]int) (*Authorizer, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: firstReconnect, Multiplier: reconnectGrowth, Jitter: reconnectJitter, MaxDelay: maxReconnect,
			},
			MinConnectTimeout: connectTimeout,
		}), grpc.WithDisableServiceConfig())
	if err != nil {
		return nil, fmt.Errorf("authorizer %s: %w", addr, err)
	}
	return &Authorizer{
		conn: conn, client: auth.NewAuthorizationClient(conn), classes: classes, startedAt: time.Now(),
		policy: authz.New(cfg), latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision),
	}, nil
}

// Close ends the connection to the authorizer, and with it the checks in flight.
func (a *Authorizer) Close() { _ = a.conn.Close() } // its error says that it was closed before

func (a *Authorizer) now() time.Duration { return time.Since(a.startedAt) }

// Check asks about a request that has so much time left. It returns the verdict, and when a rejected request does best to
// come again. Where ctx ends first, the client has gone.
func (a *Authorizer) Check(ctx context.Context, r *protocol.Request, left time.Duration) (authz.Verdict, time.Duration) {
	class := a.classes[r.Class]
	a.mu.Lock()
	decision := a.policy.Begin(a.now(), class, left)
	retryAfter := a.policy.RetryAfter(a.now(), class)
	a.mu.Unlock()
	if decision.Verdict != authz.CheckNeeded {
		return decision.Verdict, retryAfter
	}
	began := time.Now()
	outcome := a.call(ctx, r, decision.Timeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.latencies.RecordValue(min(time.Since(began), maxLatency).Microseconds()) // it is within the histogram's range
	verdict := a.policy.End(a.now(), class, outcome, decision.Timeout)
	return verdict, a.policy.RetryAfter(a.now(), class)
}

// call makes one call, and waits for the answer at most that long.
func (a *Authorizer) call(ctx context.Context, r *protocol.Request, wait time.Duration) authz.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	response, err := a.client.Check(callCtx, checkRequest(r))
	switch {
	case ctx.Err() != nil:
		return authz.ClientGone
	case callCtx.Err() != nil:
		return authz.TimedOut
	case err != nil || response.GetStatus() == nil:
		return authz.Failed
	}
	switch codes.Code(response.Status.Code) {
	case codes.OK:
		return authz.Allowed
	case codes.PermissionDenied, codes.Unauthenticated:
		return authz.Denied
	}
	return authz.Failed
}

// checkRequest is what the authorizer is sent. Its names are on the wire.
func checkRequest(r *protocol.Request) *auth.CheckRequest {
	customer := fmt.Sprintf("%016x", r.Customer)
	return &auth.CheckRequest{Attributes: &auth.AttributeContext{
		Source: &auth.AttributeContext_Peer{Principal: customer, Address: &core.Address{}},
		Request: &auth.AttributeContext_Request{Http: &auth.AttributeContext_HttpRequest{
			Id: r.ID, Method: r.Method, Path: r.URI, Host: r.Host, Protocol: "HTTP/1.1", Size: int64(len(r.Body)),
			Headers: map[string]string{"x-tariff": r.Plan},
		}},
		ContextExtensions: map[string]string{
			"band": r.Class, "plan": r.Plan, "customer": customer, "units": fmt.Sprint(r.Units),
		},
	}}
}

// LatencyQuantile is how long that share of the checks took at most; 0 before the first.
func (a *Authorizer) LatencyQuantile(share float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.latencies.ValueAtQuantile(100*share)) * time.Microsecond
}

// MarshalZerologObject writes what was done so far.
func (a *Authorizer) MarshalZerologObject(e *zerolog.Event) {
	p50, p99 := a.LatencyQuantile(0.5), a.LatencyQuantile(0.99)
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.policy.Counters()
	e.Int("in_flight", a.policy.InFlight()).Int64("checks", c.Checks).Int64("allowed", c.Allowed).Int64("denied", c.Denied).
		Int64("unanswered", c.Unanswered).Int64("client_gone", c.ClientGone).
		Int64("failed_open", c.FailedOpen).Int64("failed_closed", c.FailedClosed).
		Int64("over_limit", c.OverLimit).Int64("breaker_opened", c.BreakerOpened).
		Dur("p50_ms", p50).Dur("p99_ms", p99)
}
