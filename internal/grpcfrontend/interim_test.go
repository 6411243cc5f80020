package grpcfrontend

import (
	"context"
	"net/http"
	"testing"
	"time"

	auth "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"

	"cherrygap/internal/authz"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// denyingAuthorizer denies each request.
type denyingAuthorizer struct {
	auth.UnimplementedAuthorizationServer
}

// Check returns a denial.
func (denyingAuthorizer) Check(context.Context, *auth.CheckRequest) (*auth.CheckResponse, error) {
	return &auth.CheckResponse{Status: &rpcstatus.Status{Code: int32(codes.PermissionDenied)}}, nil
}

// Protects against a request that passes unchecked, in a class that fails open, because its check counts as failed. Interim
// responses ahead of the authorizer's answer, as a proxy in front of it may send, are not the answer (RFC 9110, section 15.2).
func TestAuthorizerBehindInterimResponses(t *testing.T) {
	service := grpc.NewServer()
	auth.RegisterAuthorizationServer(service, denyingAuthorizer{})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.WriteHeader(http.StatusContinue)
		w.WriteHeader(http.StatusEarlyHints)
		service.ServeHTTP(w, request)
	})}
	listener := nettest.Listen(t)
	go func() { _ = server.Serve(listener) }() // Serve returns once the listener is closed
	closeAtEnd(t, server)
	client := dialTestAuthorizer(t, listener.Addr().String())
	for _, class := range []string{"look", "buy"} {
		request := &protocol.Request{Method: http.MethodGet, URI: protocol.RequestPath(class, 7), ID: class, Class: class, Plan: "team", Customer: 7}
		if got := client.Check(t.Context(), request, 5*time.Second); got.Verdict != authz.Deny {
			t.Errorf("class %q: verdict %v, want %v", class, got.Verdict, authz.Deny)
		}
	}
}
