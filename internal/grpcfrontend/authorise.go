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

// Authoriser asks an external authoriser about tickets, as the module in internal/authz wants. It is a
// transport.Checker.
type Authoriser struct {
	conn   *grpc.ClientConn
	client auth.AuthorizationClient
	bands  map[string]int
	began  time.Time

	mu   sync.Mutex
	gate *authz.Gate
	took *hdrhistogram.Histogram // microseconds of ended checks
}

const mostTook = time.Minute // longer ones count as that

// Dial readies an authoriser at an address and port; it does not wait for it. Bands are the numbers of the module's
// bands by name, as authz.Config has them.
func Dial(addr string, cfg authz.Config, bands map[string]int) (*Authoriser, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: 50 * time.Millisecond, Multiplier: 1.6,
			Jitter: 0.3, MaxDelay: time.Second,
		}, MinConnectTimeout: time.Second}), grpc.WithDisableServiceConfig())
	if err != nil {
		return nil, err
	}
	return &Authoriser{
		conn: conn, client: auth.NewAuthorizationClient(conn), bands: bands, began: time.Now(),
		gate: authz.New(cfg), took: hdrhistogram.New(1, mostTook.Microseconds(), 2),
	}, nil
}

// Close ends it.
func (a *Authoriser) Close() { a.conn.Close() }

func (a *Authoriser) now() time.Duration { return time.Since(a.began) }

// Check asks about a ticket, and gives its verdict and when a bounced one does best to come again.
func (a *Authoriser) Check(ctx context.Context, q *protocol.Request, left time.Duration) (authz.Verdict, time.Duration) {
	band := a.bands[q.Class]
	a.mu.Lock()
	v, wait := a.gate.Begin(a.now(), band, left)
	advice := a.gate.Advice(a.now(), band)
	a.mu.Unlock()
	if v != authz.Ask {
		return v, advice
	}
	began := time.Now()
	o := a.ask(ctx, q, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.took.RecordValue(min(time.Since(began), mostTook).Microseconds())
	v = a.gate.Ended(a.now(), band, o, wait)
	return v, a.gate.Advice(a.now(), band)
}

// ask makes one call.
func (a *Authoriser) ask(ctx context.Context, q *protocol.Request, wait time.Duration) authz.Outcome {
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
		return authz.Left
	case call.Err() != nil:
		return authz.Silent
	case err != nil || r.GetStatus() == nil:
		return authz.Broken
	}
	switch codes.Code(r.Status.Code) {
	case codes.OK:
		return authz.Allowed
	case codes.PermissionDenied, codes.Unauthenticated:
		return authz.Refused
	}
	return authz.Broken
}

// Within is how long that share of the checks took at most; 0 before the first.
func (a *Authoriser) Within(share float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.took.ValueAtQuantile(100*share)) * time.Microsecond
}

// MarshalZerologObject writes what was done so far.
func (a *Authoriser) MarshalZerologObject(e *zerolog.Event) {
	p50, p99 := a.Within(0.5), a.Within(0.99)
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.gate.Count()
	e.Int("out", a.gate.Out()).Int64("asked", c.Asked).Int64("allowed", c.Allowed).Int64("refused", c.Refused).
		Int64("silent", c.Silent).Int64("left", c.Left).Int64("opened", c.Opened).Int64("closed", c.Closed).
		Int64("overrun", c.Overrun).Int64("rests", c.Rests).Dur("p50_ms", p50).Dur("p99_ms", p99)
}
