// Package grpcfrontend is what the node speaks over gRPC: a server that takes the same requests as the HTTP one and passes
// them through the same frontend.RequestHandler, and the client of an external authorizer (Envoy's published
// envoy.service.auth.v3.Authorization). It decides nothing: internal/authz and the decision engine do.
package grpcfrontend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"cherrygap/internal/frontend"
	"cherrygap/internal/protocol"
)

// Connections hold descriptors, of which there are few: one that says nothing at first, or has had no call in flight for a
// while, is closed. gRPC's clients connect again by themselves.
const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 10 * time.Second
)

const (
	defaultTimeout = 10 * time.Second     // of a call without a deadline
	maxMessage     = 2 * protocol.MaxBody // bytes: a body and the fields beside it
	requestHost    = "gate"               // the Host that app servers are given
)

// Statuses that the handling of a request ends with. Their texts are on the wire.
var (
	errSameID   = status.Error(codes.AlreadyExists, "id of another ticket")
	errDenied   = status.Error(codes.PermissionDenied, "not allowed")
	errFailed   = status.Error(codes.Unknown, "broken off: it may have run")
	errUnknown  = status.Error(codes.NotFound, "unknown band or plan")
	errSafeBody = status.Error(codes.InvalidArgument, "a band that is safe to repeat takes no body")
	errLimits   = status.Error(codes.InvalidArgument, "figures outside the settings")

	rejected = status.New(codes.Unavailable, "bounced: trying again is harmless")
)

// Server serves the Gate service.
type Server struct {
	UnimplementedGateServer

	requests *frontend.Server
	methods  map[string]string // of HTTP, by class
	server   *grpc.Server
	listener net.Listener
}

// Listen starts to take requests over gRPC, beside the HTTP server and through it. Methods is the HTTP method of each
// class, as app servers want it. At most maxCalls are in flight at once on one connection.
//
// Its goroutine accepts connections until Drain; gRPC's own serve them and end with them.
func Listen(addr string, requests *frontend.Server, methods map[string]string, maxCalls uint32) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		requests: requests,
		methods:  methods,
		listener: requests.LimitListener(listener),
		server: grpc.NewServer(grpc.MaxConcurrentStreams(maxCalls), grpc.MaxRecvMsgSize(maxMessage),
			grpc.ConnectionTimeout(handshakeTimeout),
			grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout})),
	}
	RegisterGateServer(s.server, s)
	go func() { _ = s.server.Serve(s.listener) }() // its error says that the listener was closed, by Drain
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain takes nothing new and returns once all calls have their answers.
func (s *Server) Drain() { s.server.GracefulStop() }

// Pass takes one request to its answer. The error is a gRPC status.
func (s *Server) Pass(ctx context.Context, call *Ticket) (*Answer, error) {
	arrived := time.Now()
	request, err := s.read(call)
	if err != nil {
		return nil, err
	}
	request.Timeout = defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = time.Until(deadline)
	}
	if err := ctx.Err(); err != nil { // the client went before the call's turn came
		return nil, status.FromContextError(err).Err()
	}
	if !s.requests.ClaimRequestID(request.ID) {
		return nil, errSameID
	}
	defer s.requests.ReleaseRequestID(request.ID)
	handler := s.requests.NewRequestHandler(func() bool { return ctx.Err() != nil })
	defer handler.Release()
	handler.Begin()
	stop := context.AfterFunc(ctx, handler.ClientGone)
	defer stop()
	response, owed := handler.Handle(request, arrived)
	if !owed {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return answer(response)
}

// answer turns the response that an HTTP client would get into the call's.
func answer(r protocol.ClientResponse) (*Answer, error) {
	switch r.Status {
	case protocol.StatusCompleted:
		return &Answer{Body: r.Body, Type: r.ContentType}, nil
	case protocol.StatusDenied:
		return nil, errDenied
	case protocol.StatusRejected:
		return nil, rejection(r.RetryAfter)
	}
	return nil, errFailed
}

// rejection says in its details when to try again, unless that is 0.
func rejection(retryAfter time.Duration) error {
	if retryAfter > 0 {
		withDetails, err := rejected.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)})
		if err == nil {
			return withDetails.Err()
		}
	}
	return rejected.Err()
}

// read turns a call into the request that the HTTP server would have read.
func (s *Server) read(call *Ticket) (*protocol.Request, error) {
	method, known := s.methods[call.Band]
	request := &protocol.Request{
		Method: method, URI: fmt.Sprintf("/%s/%016x", call.Band, call.Customer), Host: requestHost,
		ContentType: call.Type, IdempotencyKey: call.Key,
		ID: call.Id, Class: call.Band, Plan: call.Plan, Customer: call.Customer,
		Units: call.Units, Spread: int(call.Spread), FirstNode: int(call.First), Body: call.Body,
	}
	switch err := request.Validate(); {
	case !known || !s.requests.KnowsClassAndPlan(request):
		return nil, errUnknown
	case err != nil:
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case method == http.MethodGet && len(call.Body) > 0:
		return nil, errSafeBody
	case !s.requests.WithinLimits(request):
		return nil, errLimits
	}
	return request, nil
}
