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
	"cherrygap/internal/frontend"
	"cherrygap/internal/protocol"
)

// Parameters of the connection to the authorizer, which gRPC reopens by itself, and of the latency histogram.
const (
	firstReconnect   = 50 * time.Millisecond
	reconnectGrowth  = 1.6
	reconnectJitter  = 0.3
	maxReconnect     = time.Second
	connectTimeout   = time.Second
	maxLatency       = time.Minute // longer latencies are recorded as this
	latencyPrecision = 2           // significant digits
)

// Authorizer asks an external authorizer about requests, as an authz.Policy decides. It is a frontend.Authorizer.
type Authorizer struct {
	conn      *grpc.ClientConn
	client    auth.AuthorizationClient
	classes   map[string]int // class numbers by name
	startedAt time.Time      // origin of the policy's clock

	mu        sync.Mutex // guards both below
	policy    *authz.Policy
	latencies *hdrhistogram.Histogram // of finished checks, in microseconds
}

// DialAuthorizer returns a client of the authorizer at addr, "host:port". It does not wait for the connection. classes has
// the numbers of cfg's classes by name. The caller calls Close in the end.
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

// Close closes the connection to the authorizer, which ends the checks in flight.
func (a *Authorizer) Close() { _ = a.conn.Close() } // fails only if it was closed before

func (a *Authorizer) now() time.Duration { return time.Since(a.startedAt) }

// Check asks the authorizer about a request of a known class whose client waits for left. If ctx ends first, the client
// disconnected.
func (a *Authorizer) Check(ctx context.Context, request *protocol.Request, left time.Duration) frontend.Authorization {
	class := a.classes[request.Class]
	begun := a.begin(class, left)
	if begun.decision.Verdict != authz.CheckNeeded {
		return frontend.Authorization{Verdict: begun.decision.Verdict, RetryAfter: begun.retryAfter}
	}
	startedAt := time.Now()
	timeout := begun.decision.Timeout
	outcome := a.call(ctx, request, timeout)
	return a.end(class, outcome, timeout, time.Since(startedAt))
}

// begunCheck is the result of begin.
type begunCheck struct {
	decision   authz.Decision
	retryAfter time.Duration // of a request that the decision rejects
}

// begin returns the policy's decision before a check.
func (a *Authorizer) begin(class int, left time.Duration) begunCheck {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.policy.Begin(a.now(), class, left)
	return begunCheck{decision: decision, retryAfter: a.policy.RetryAfter(a.now(), class)}
}

// end records a check and returns the policy's decision after it.
func (a *Authorizer) end(class int, outcome authz.Outcome, timeout, took time.Duration) frontend.Authorization {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.latencies.RecordValue(min(took, maxLatency).Microseconds()) // fails only out of the histogram's range
	verdict := a.policy.End(a.now(), class, outcome, timeout)
	return frontend.Authorization{Verdict: verdict, RetryAfter: a.policy.RetryAfter(a.now(), class)}
}

// call makes one call and waits for the response until the timeout or the end of ctx.
func (a *Authorizer) call(ctx context.Context, request *protocol.Request, timeout time.Duration) authz.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := a.client.Check(callCtx, checkRequest(request))
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

// Names in a check, as authorizers know them.
const (
	headerPlan        = "x-tariff" // Envoy's headers are lower-case
	extensionClass    = "band"
	extensionPlan     = "plan"
	extensionCustomer = "customer"
	extensionUnits    = "units"
)

// checkRequest returns the message to the authorizer.
func checkRequest(request *protocol.Request) *auth.CheckRequest {
	customer := fmt.Sprintf("%016x", request.Customer)
	return &auth.CheckRequest{Attributes: &auth.AttributeContext{
		Source: &auth.AttributeContext_Peer{Principal: customer, Address: &core.Address{}},
		Request: &auth.AttributeContext_Request{Http: &auth.AttributeContext_HttpRequest{
			Id: request.ID, Method: request.Method, Path: request.URI, Host: request.Host, Protocol: "HTTP/1.1",
			Size: int64(len(request.Body)), Headers: map[string]string{headerPlan: request.Plan},
		}},
		ContextExtensions: map[string]string{
			extensionClass: request.Class, extensionPlan: request.Plan, extensionCustomer: customer,
			extensionUnits: fmt.Sprint(request.Units),
		},
	}}
}

// LatencyQuantile returns a quantile, from 0 to 1, of the latencies of finished checks. It is 0 before the first check.
func (a *Authorizer) LatencyQuantile(quantile float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.latencies.ValueAtQuantile(100*quantile)) * time.Microsecond
}

// MarshalZerologObject writes the counters and latencies since the node's start.
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
