package authz

import (
	"context"
	"errors"
	"testing"
	"time"

	auth "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// startServer starts an authorizer, and returns it with a client.
func startServer(t *testing.T, cfg Config) (*Server, auth.AuthorizationClient) {
	t.Helper()
	server, err := Start("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	conn, err := grpc.NewClient("passthrough:///"+server.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return server, auth.NewAuthorizationClient(conn)
}

// check checks a request of a customer. It returns the code of the answer, or the code of the failed call.
func check(ctx context.Context, client auth.AuthorizationClient, id, customer string) codes.Code {
	answer, err := client.Check(ctx, &auth.CheckRequest{Attributes: &auth.AttributeContext{
		Request:           &auth.AttributeContext_Request{Http: &auth.AttributeContext_HttpRequest{Id: id}},
		ContextExtensions: map[string]string{"customer": customer},
	}})
	if err != nil {
		return status.Code(err)
	}
	return codes.Code(answer.Status.Code)
}

// Answers follow the configuration.
func TestAnswersFollowConfig(t *testing.T) {
	for name, c := range map[string]struct {
		config            Config
		customer          string
		want              codes.Code
		allowed, answered bool
	}{
		"allowed":     {Config{DenyEvery: 5}, "0000000000000006", codes.OK, true, true},
		"denied":      {Config{DenyEvery: 5}, "000000000000000a", codes.PermissionDenied, false, true},
		"none denied": {Config{}, "0000000000000000", codes.OK, true, true},
		"dropped":     {Config{DropProbability: 1}, "0000000000000001", codes.Unavailable, false, false},
		"malformed":   {Config{MalformedProbability: 1}, "0000000000000001", malformedCode, false, false},
		"no customer": {Config{}, "x", codes.InvalidArgument, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := startServer(t, c.config)
			if got := check(t.Context(), client, "1", c.customer); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
			if allowed, answered := server.LastAnswer("1"); allowed != c.allowed || answered != c.answered {
				t.Errorf("answered %v, allowed %v", answered, allowed)
			}
		})
	}
}

// A restarted authorizer answers at the same address.
func TestRestartKeepsAddress(t *testing.T) {
	server, client := startServer(t, Config{Uptime: 50 * time.Millisecond, Downtime: 10 * time.Millisecond})
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		starts := server.Counts().Starts
		if starts >= 3 && check(t.Context(), client, "1", "1") == codes.OK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d starts, and no answer since", starts)
		}
	}
}

// An address beyond loopback is an error.
func TestStartOnlyOnLoopback(t *testing.T) {
	var refused *NotLoopbackError
	if _, err := Start("0.0.0.0:0", Config{}); !errors.As(err, &refused) || err.Error() != "0.0.0.0:0 is not a loopback address" {
		t.Error(err)
	}
}
