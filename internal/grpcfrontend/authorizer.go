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
	firstReconnectDelay = 50 * time.Millisecond
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.3
	maxReconnectDelay   = time.Second
	connectTimeout      = time.Second
	maxRecordedLatency  = time.Minute // longer latencies are recorded as this value
	latencyDigits       = 2           // significant digits of a recorded latency
)

// Authorizer is the client of an external authorizer, and implements frontend.Authorizer. Its authz.Policy decides which
// requests are checked, and with what timeout. Its methods are safe for concurrent use.
type Authorizer struct {
	conn         *grpc.ClientConn
	client       auth.AuthorizationClient
	classNumbers map[string]int // index of each class in authz.Config.Classes, by class name
	startedAt    time.Time      // origin of the times that the policy gets

	mu        sync.Mutex // guards the fields below
	policy    *authz.Policy
	latencies *hdrhistogram.Histogram // latencies of finished checks, in microseconds
}

// DialAuthorizer returns a client of the authorizer at addr, "host:port". It does not wait for the connection. classNumbers
// maps class names to indexes in cfg.Classes. The caller must call Close.
func DialAuthorizer(addr string, cfg authz.Config, classNumbers map[string]int) (*Authorizer, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: firstReconnectDelay, Multiplier: reconnectMultiplier, Jitter: reconnectJitter, MaxDelay: maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}), grpc.WithDisableServiceConfig())
	if err != nil {
		return nil, fmt.Errorf("create client of authorizer %s: %w", addr, err)
	}
	return &Authorizer{
		conn: conn, client: auth.NewAuthorizationClient(conn), classNumbers: classNumbers, startedAt: time.Now(),
		policy: authz.New(cfg), latencies: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), latencyDigits),
	}, nil
}

// Close closes the connection to the authorizer. The checks in flight fail.
func (a *Authorizer) Close() { _ = a.conn.Close() } // Close fails only if the connection is already closed

// now returns the time since startedAt.
func (a *Authorizer) now() time.Duration { return time.Since(a.startedAt) }

// Check returns the verdict on a request. It calls the authorizer if the policy requires a check. The request's class must be
// known. timeLeft is the time until the request's deadline. The caller cancels ctx if the client disconnects.
func (a *Authorizer) Check(ctx context.Context, request *protocol.Request, timeLeft time.Duration) frontend.Authorization {
	class := a.classNumbers[request.Class]
	start := a.beginCheck(class, timeLeft)
	if start.decision.Verdict != authz.CheckNeeded {
		return frontend.Authorization{Verdict: start.decision.Verdict, RetryAfter: start.retryAfter}
	}
	startedAt := time.Now()
	timeout := start.decision.Timeout
	outcome := a.callAuthorizer(ctx, request, timeout)
	return a.endCheck(class, outcome, timeout, time.Since(startedAt))
}

// checkStart is the result of beginCheck.
type checkStart struct {
	decision   authz.Decision
	retryAfter time.Duration // Retry-After, for a request that the decision rejects
}

// beginCheck returns the policy's decision on a new request. After CheckNeeded, the caller must call endCheck once.
func (a *Authorizer) beginCheck(class int, timeLeft time.Duration) checkStart {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.policy.Begin(a.now(), class, timeLeft)
	return checkStart{decision: decision, retryAfter: a.policy.RetryAfter(a.now(), class)}
}

// endCheck records the latency of a check, reports its outcome to the policy and returns the final verdict.
func (a *Authorizer) endCheck(class int, outcome authz.Outcome, timeout, latency time.Duration) frontend.Authorization {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.latencies.RecordValue(min(latency, maxRecordedLatency).Microseconds()) // RecordValue fails only above the histogram's range
	verdict := a.policy.End(a.now(), class, outcome, timeout)
	return frontend.Authorization{Verdict: verdict, RetryAfter: a.policy.RetryAfter(a.now(), class)}
}

// callAuthorizer makes one call and waits for the response until the timeout or the end of ctx. Any status other than OK,
// PermissionDenied and Unauthenticated counts as a failed check.
func (a *Authorizer) callAuthorizer(ctx context.Context, request *protocol.Request, timeout time.Duration) authz.Outcome {
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

// Names in the messages to the authorizer, which authorizers depend on.
const (
	headerPlan        = "x-tariff" // Envoy writes header names in lower case
	extensionClass    = "band"
	extensionPlan     = "plan"
	extensionCustomer = "customer"
	extensionUnits    = "units"
)

// checkRequest returns the message that asks the authorizer about a request.
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

// LatencyQuantile returns a quantile, from 0 to 1, of the latencies of finished checks. It returns 0 before the first check.
func (a *Authorizer) LatencyQuantile(quantile float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.latencies.ValueAtQuantile(100*quantile)) * time.Microsecond
}

// MarshalZerologObject writes the counters and the latency quantiles since DialAuthorizer.
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
