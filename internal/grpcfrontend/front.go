// Package grpcfrontend is what the node speaks over gRPC: a front that takes the same tickets as the HTTP one and passes them
// through the same transport.Passage, and the client of an external authoriser (Envoy's published
// envoy.service.auth.v3.Authorization). It decides nothing: internal/authz and the decision module do.
package grpcfrontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"cherrygap/internal/protocol"
	"cherrygap/internal/transport"
)

// Front serves the Gate service.
type Front struct {
	UnimplementedGateServer
	front   *transport.Server
	methods map[string]string // by band
	server  *grpc.Server
	ln      net.Listener
}

// Connections hold descriptors, of which there are few: who says nothing at first, or has had no call open for a while, is
// closed. gRPC's clients connect again by themselves.
const (
	greetBy = 2 * time.Second
	idleFor = 10 * time.Second
)

// Listen starts to take tickets over gRPC, beside the HTTP front and through it. Methods is the HTTP method of each
// band, as app servers want it. At most so many calls are under way at once on one connection.
func Listen(addr string, front *transport.Server, methods map[string]string, most uint32) (*Front, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ln = front.LimitListener(ln)
	f := &Front{front: front, methods: methods, ln: ln, server: grpc.NewServer(grpc.MaxConcurrentStreams(most),
		grpc.MaxRecvMsgSize(2*protocol.MaxBody), grpc.ConnectionTimeout(greetBy),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleFor}))}
	RegisterGateServer(f.server, f)
	go f.server.Serve(ln)
	return f, nil
}

// Addr is where it listens.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Drain takes nothing new and returns once all calls have their answers.
func (f *Front) Drain() { f.server.GracefulStop() }

const defaultBudget = 10 * time.Second // of a call without a deadline

// Pass takes one ticket to its answer.
func (f *Front) Pass(ctx context.Context, t *Ticket) (*Answer, error) {
	came := time.Now()
	q, err := f.request(t)
	if err != nil {
		return nil, err
	}
	q.Timeout = defaultBudget
	if by, ok := ctx.Deadline(); ok {
		q.Timeout = time.Until(by)
	}
	if err := ctx.Err(); err != nil { // cancelled before its turn
		return nil, status.FromContextError(err).Err()
	}
	if !f.front.ClaimRequestID(q.ID) {
		return nil, status.Error(codes.AlreadyExists, "id of another ticket")
	}
	defer f.front.ReleaseRequestID(q.ID)
	p := f.front.NewRequestHandler(func() bool { return ctx.Err() != nil })
	defer p.Release()
	p.Begin()
	stop := context.AfterFunc(ctx, p.ClientGone)
	defer stop()
	a, stays := p.Handle(q, came)
	if !stays {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	switch a.Status {
	case protocol.StatusCompleted:
		return &Answer{Body: a.Body, Type: a.ContentType}, nil
	case protocol.StatusDenied:
		return nil, status.Error(codes.PermissionDenied, "not allowed")
	case protocol.StatusRejected:
		s := status.New(codes.Unavailable, "bounced: trying again is harmless")
		if a.RetryAfter > 0 {
			if with, err := s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(a.RetryAfter)}); err == nil {
				s = with
			}
		}
		return nil, s.Err()
	}
	return nil, status.Error(codes.Unknown, "broken off: it may have run")
}

// request turns a call into the ticket that the HTTP front would have read.
func (f *Front) request(t *Ticket) (*protocol.Request, error) {
	method, known := f.methods[t.Band]
	q := &protocol.Request{
		Method: method, URI: fmt.Sprintf("/%s/%016x", t.Band, t.Customer), Host: "gate", ContentType: t.Type, IdempotencyKey: t.Key,
		ID: t.Id, Class: t.Band, Plan: t.Plan, Customer: t.Customer, Units: t.Units, Spread: int(t.Spread),
		FirstNode: int(t.First), Body: t.Body,
	}
	switch err := q.Validate(); {
	case !known || !f.front.KnowsClassAndPlan(q):
		return nil, status.Error(codes.NotFound, "unknown band or plan")
	case err != nil:
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case method == http.MethodGet && len(t.Body) > 0:
		return nil, status.Error(codes.InvalidArgument, "a band that is safe to repeat takes no body")
	case !f.front.WithinLimits(q):
		return nil, status.Error(codes.InvalidArgument, "figures outside the settings")
	}
	return q, nil
}

// Methods gives each band's HTTP method by what it may repeat, from the module's settings.
func Methods(set map[string]string) (map[string]string, error) {
	out := map[string]string{}
	for i := 0; ; i++ {
		name, ok := set[fmt.Sprintf("band.%d.name", i)]
		if !ok {
			break
		}
		out[name] = http.MethodPost
		if set[fmt.Sprintf("band.%d.repeats", i)] == "replayable" {
			out[name] = http.MethodGet
		}
		if strings.ContainsAny(name, "/ ?#%") {
			return nil, errors.New("band " + name + " is no path part")
		}
	}
	return out, nil
}
