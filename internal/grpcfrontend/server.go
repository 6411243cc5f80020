// Package grpcfrontend has the node's gRPC parts: a front end that passes requests to the same frontend.RequestHandler as
// the HTTP front end, and the client of an external authorizer, by Envoy's envoy.service.auth.v3.Authorization.
// The decisions are those of internal/authz and the decision engine.
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

// Timeouts of connections. They free the descriptors of silent clients; gRPC clients reconnect by themselves.
const (
	handshakeTimeout = 2 * time.Second  // until the HTTP/2 handshake is done
	idleTimeout      = 10 * time.Second // without a call in flight
)

const (
	defaultTimeout = 10 * time.Second     // of a call without a deadline
	maxMessage     = 2 * protocol.MaxBody // bytes: a body and the fields beside it
	requestHost    = "gate"               // Host header for app servers
)

// Statuses of calls. Their messages are on the wire.
var (
	errIDInUse           = status.Error(codes.AlreadyExists, "id of another ticket")
	errDenied            = status.Error(codes.PermissionDenied, "not allowed")
	errFailed            = status.Error(codes.Unknown, "broken off: it may have run")
	errUnknown           = status.Error(codes.NotFound, "unknown band or plan")
	errBodyInSafeRequest = status.Error(codes.InvalidArgument, "a band that is safe to repeat takes no body")
	errOutsideLimits     = status.Error(codes.InvalidArgument, "figures outside the settings")

	rejected = status.New(codes.Unavailable, "bounced: trying again is harmless")
)

// Server serves the Gate service.
type Server struct {
	UnimplementedGateServer

	requests *frontend.Server
	methods  map[string]string // HTTP method by class
	server   *grpc.Server
	listener net.Listener
}

// Listen starts the gRPC front end on an address. Its requests go through RequestHandlers of the HTTP front end, whose
// LimitListener bounds its connections. methods is the HTTP method of each class. maxCalls bounds the calls in flight on one
// connection.
//
// It starts a goroutine that accepts connections until Drain. gRPC starts one for each connection, which ends with it.
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
	go func() { _ = s.server.Serve(s.listener) }() // returns after Drain has closed the listener
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain rejects new calls and returns when all calls in flight are answered.
func (s *Server) Drain() { s.server.GracefulStop() }

// Pass handles one request. The error is a gRPC status.
func (s *Server) Pass(ctx context.Context, call *Ticket) (*Answer, error) {
	receivedAt := time.Now()
	request, err := s.read(call)
	if err != nil {
		return nil, err
	}
	request.Timeout = defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = time.Until(deadline)
	}
	if err := ctx.Err(); err != nil { // the client disconnected before the call began
		return nil, status.FromContextError(err).Err()
	}
	if !s.requests.ClaimRequestID(request.ID) {
		return nil, errIDInUse
	}
	defer s.requests.ReleaseRequestID(request.ID)
	handler := s.requests.NewRequestHandler(func() bool { return ctx.Err() != nil })
	defer handler.Release()
	handler.Begin()
	stop := context.AfterFunc(ctx, handler.ClientGone)
	defer stop()
	response, ok := handler.Handle(request, receivedAt)
	if !ok {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return answerFor(response)
}

// answerFor converts the response for an HTTP client into the answer or status of a call.
func answerFor(r protocol.ClientResponse) (*Answer, error) {
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

// rejection returns the status of a rejected request. Its details have retryAfter, unless that is 0.
func rejection(retryAfter time.Duration) error {
	if retryAfter > 0 {
		withDetails, err := rejected.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)})
		if err == nil {
			return withDetails.Err()
		}
	}
	return rejected.Err()
}

// read converts a call into a request and checks it, as the HTTP front end does.
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
		return nil, errBodyInSafeRequest
	case !s.requests.WithinLimits(request):
		return nil, errOutsideLimits
	}
	return request, nil
}
