// Package grpcfrontend holds the node's gRPC front end and the client of an external authorizer. The front end passes requests
// to a frontend.RequestHandler, as the HTTP front end does. The client calls Envoy's envoy.service.auth.v3.Authorization.
// The decisions on requests are made in internal/authz and in the decision engine.
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

// Timeouts of connections. They free the descriptors of silent clients. gRPC clients reconnect by themselves.
const (
	handshakeTimeout = 2 * time.Second  // timeout of the HTTP/2 handshake
	idleTimeout      = 10 * time.Second // time without a call in flight after which a connection is closed
)

const (
	defaultCallTimeout = 10 * time.Second     // timeout of a call without a deadline
	maxMessageBytes    = 2 * protocol.MaxBody // size limit of a message in bytes: a body and the other fields
	requestHost        = "gate"               // Host header of the requests to app servers
)

// Statuses of failed calls. Their messages are on the wire and must not change.
var (
	errIDInUse            = status.Error(codes.AlreadyExists, "id of another ticket")
	errDenied             = status.Error(codes.PermissionDenied, "not allowed")
	errFailed             = status.Error(codes.Unknown, "broken off: it may have run")
	errUnknownClassOrPlan = status.Error(codes.NotFound, "unknown band or plan")
	errBodyInSafeRequest  = status.Error(codes.InvalidArgument, "a band that is safe to repeat takes no body")
	errOutsideLimits      = status.Error(codes.InvalidArgument, "figures outside the settings")

	rejectedStatus = status.New(codes.Unavailable, "bounced: trying again is harmless")
)

// Server serves the Gate service.
type Server struct {
	UnimplementedGateServer

	httpFrontEnd *frontend.Server
	methods      map[string]string // HTTP method by class name
	server       *grpc.Server
	listener     net.Listener
}

// Listen starts the gRPC front end on an address. Its requests go through RequestHandlers of the HTTP front end, whose
// LimitListener limits its connections. methods maps each class name to its HTTP method. maxCalls limits the calls in flight
// on one connection.
//
// Listen starts a goroutine that accepts connections until Drain. gRPC starts a goroutine for each connection, which ends with
// the connection.
func Listen(addr string, httpFrontEnd *frontend.Server, methods map[string]string, maxCalls uint32) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		httpFrontEnd: httpFrontEnd,
		methods:      methods,
		listener:     httpFrontEnd.LimitListener(listener),
		server: grpc.NewServer(grpc.Creds(newConnCredentials()), grpc.MaxConcurrentStreams(maxCalls), grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.ConnectionTimeout(handshakeTimeout),
			grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout})),
	}
	RegisterGateServer(s.server, s)
	go func() { _ = s.server.Serve(s.listener) }() // Serve returns after Drain has closed the listener
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain stops accepting connections and calls. It returns once all calls in flight have their responses.
func (s *Server) Drain() { s.server.GracefulStop() }

// Pass handles the request of one call and returns its response. The error is a gRPC status.
func (s *Server) Pass(ctx context.Context, call *Ticket) (*Answer, error) {
	receivedAt := time.Now()
	conn, hasConn := connOf(ctx)
	request, err := s.requestFor(call)
	if err != nil {
		if hasConn && !conn.AwaitRejection(ctx.Done()) {
			return nil, status.FromContextError(ctx.Err()).Err()
		}
		return nil, err
	}
	request.Timeout = defaultCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = time.Until(deadline)
	}
	if err := ctx.Err(); err != nil { // the client cancelled the call, or its deadline has passed
		return nil, status.FromContextError(err).Err()
	}
	switch s.httpFrontEnd.ClaimRequestID(request.ID) {
	case frontend.IDKnown:
		return nil, errIDInUse
	case frontend.IDsFull:
		return nil, rejection(frontend.OverMemoryRetryAfter)
	}
	handler := s.httpFrontEnd.NewRequestHandler(func() bool { return ctx.Err() != nil })
	defer s.httpFrontEnd.ReleaseRequestID(request.ID, handler)
	defer handler.Release()
	handler.Begin()
	stop := context.AfterFunc(ctx, handler.ClientGone)
	defer stop()
	response, ok := handler.Handle(request, receivedAt)
	if hasConn && handler.Forwarded() {
		conn.MarkForwarded()
	}
	if !ok {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return answerFor(response)
}

// answerFor converts a client response, as the HTTP front end sends it, to the answer or status of a call.
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

// rejection returns the status of a rejected request. Its details contain retryAfter, unless retryAfter is 0.
func rejection(retryAfter time.Duration) error {
	if retryAfter > 0 {
		withDetails, err := rejectedStatus.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)})
		if err == nil {
			return withDetails.Err()
		}
	}
	return rejectedStatus.Err()
}

// requestFor converts a call to a request and validates it as the HTTP front end does. The error is a gRPC status.
func (s *Server) requestFor(call *Ticket) (*protocol.Request, error) {
	method, known := s.methods[call.Band]
	request := &protocol.Request{
		Method: method, URI: fmt.Sprintf("/%s/%016x", call.Band, call.Customer), Host: requestHost,
		ContentType: call.Type, IdempotencyKey: call.Key,
		ID: call.Id, Class: call.Band, Plan: call.Plan, Customer: call.Customer,
		Units: call.Units, Spread: int(call.Spread), FirstNode: int(call.First), Body: call.Body,
	}
	switch err := request.Validate(); {
	case !known || !s.httpFrontEnd.KnowsClassAndPlan(request):
		return nil, errUnknownClassOrPlan
	case err != nil:
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case method == http.MethodGet && len(call.Body) > 0:
		return nil, errBodyInSafeRequest
	case !s.httpFrontEnd.WithinLimits(request):
		return nil, errOutsideLimits
	}
	return request, nil
}
