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

// Authorizer asks an external authoriser about tickets, as the module in internal/authz wants. It is a
// transport.Checker.
type Authorizer struct {
	conn      *grpc.ClientConn
	client    auth.AuthorizationClient
	classes   map[string]int
	startedAt time.Time

	mu        sync.Mutex
	policy    *authz.Policy
	latencies *hdrhistogram.Histogram // microseconds of ended checks
}

const maxLatency = time.Minute // longer ones count as that

// DialAuthorizer readies an authoriser at an address and port; it does not wait for it. Bands are the numbers of the module's
// bands by name, as authz.Config has them.
func DialAuthorizer(addr string, cfg authz.Config, bands map[string]int) (*Authorizer, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: 50 * time.Millisecond, Multiplier: 1.6,
			Jitter: 0.3, MaxDelay: time.Second,
		}, MinConnectTimeout: time.Second}), grpc.WithDisableServiceConfig())
	if err != nil {
		return nil, err
	}
	return &Authorizer{
		conn: conn, client: auth.NewAuthorizationClient(conn), classes: bands, startedAt: time.Now(),
		policy: authz.New(cfg), latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 2),
	}, nil
}

// Close ends it.
func (a *Authorizer) Close() { a.conn.Close() }

func (a *Authorizer) now() time.Duration { return time.Since(a.startedAt) }

// Check asks about a ticket, and gives its verdict and when a bounced one does best to come again.
func (a *Authorizer) Check(ctx context.Context, q *protocol.Request, left time.Duration) (authz.Verdict, time.Duration) {
	band := a.classes[q.Class]
	a.mu.Lock()
	v, wait := a.policy.Begin(a.now(), band, left)
	advice := a.policy.RetryAfter(a.now(), band)
	a.mu.Unlock()
	if v != authz.CheckNeeded {
		return v, advice
	}
	began := time.Now()
	o := a.call(ctx, q, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.latencies.RecordValue(min(time.Since(began), maxLatency).Microseconds())
	v = a.policy.End(a.now(), band, o, wait)
	return v, a.policy.RetryAfter(a.now(), band)
}

// call makes one call.
func (a *Authorizer) call(ctx context.Context, q *protocol.Request, wait time.Duration) authz.Outcome {
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := a.client.Check(call, &auth.CheckRequest{Attributes: &auth.AttributeContext{
		Source: &auth.AttributeContext_Peer{
			Principal: fmt.Sprintf("%016x", q.Customer),
			Address:   &core.Address{},
		},
		Request: &auth.AttributeContext_Request{Http: &auth.AttributeContext_HttpRequest{
			Id: q.ID, Method: q.Method, Path: q.URI,
			Host: q.Host, Protocol: "HTTP/1.1", Size: int64(len(q.Body)), Headers: map[string]string{"x-tariff": q.Plan},
		}},
		ContextExtensions: map[string]string{
			"band": q.Class, "plan": q.Plan, "customer": fmt.Sprintf("%016x", q.Customer),
			"units": fmt.Sprint(q.Units),
		},
	}})
	switch {
	case ctx.Err() != nil:
		return authz.ClientGone
	case call.Err() != nil:
		return authz.TimedOut
	case err != nil || r.GetStatus() == nil:
		return authz.Failed
	}
	switch codes.Code(r.Status.Code) {
	case codes.OK:
		return authz.Allowed
	case codes.PermissionDenied, codes.Unauthenticated:
		return authz.Denied
	}
	return authz.Failed
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
	e.Int("out", a.policy.InFlight()).Int64("asked", c.Checks).Int64("allowed", c.Allowed).Int64("refused", c.Denied).
		Int64("silent", c.Unanswered).Int64("left", c.ClientGone).Int64("opened", c.FailedOpen).Int64("closed", c.FailedClosed).
		Int64("overrun", c.OverLimit).Int64("rests", c.BreakerOpened).Dur("p50_ms", p50).Dur("p99_ms", p99)
}
