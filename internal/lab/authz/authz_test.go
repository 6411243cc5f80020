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

// startServer starts an authorizer and returns it with a client. Both are closed when the test ends.
func startServer(t *testing.T, cfg Config) (*Server, auth.AuthorizationClient) {
	t.Helper()
	server, err := Start("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatalf("Start: %v", err)
	}
	t.Cleanup(server.Close)
	conn, err := grpc.NewClient("passthrough:///"+server.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatalf("grpc.NewClient for %s: %v", server.Addr(), err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return server, auth.NewAuthorizationClient(conn)
}

// check asks the authorizer for a decision on a request of a customer. It returns the status code of the answer, or of the
// failed call.
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

// Guards against answers that differ from the configuration. A failed call or a malformed answer must not change LastAnswer.
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
				t.Errorf("check of customer %s = %v, want %v", c.customer, got, c.want)
			}
			if allowed, answered := server.LastAnswer("1"); allowed != c.allowed || answered != c.answered {
				t.Errorf("LastAnswer(\"1\") = allowed %v, answered %v, want allowed %v, answered %v", allowed, answered, c.allowed, c.answered)
			}
		})
	}
}

// Guards against a restarted authorizer that no longer answers, or that answers at another address.
func TestRestartKeepsAddress(t *testing.T) {
	server, client := startServer(t, Config{Uptime: 50 * time.Millisecond, Downtime: 10 * time.Millisecond})
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		starts := server.Counts().Starts
		if starts >= 3 && check(t.Context(), client, "1", "1") == codes.OK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no answer at %s within 10 s, after %d starts, want an answer after 3 starts or more", server.Addr(), starts)
		}
	}
}

// Guards against an authorizer that other machines can reach because it listens on all addresses.
func TestStartOnlyOnLoopback(t *testing.T) {
	var notLoopback *NotLoopbackError
	if _, err := Start("0.0.0.0:0", Config{}); !errors.As(err, &notLoopback) || err.Error() != "0.0.0.0:0 is not a loopback address" {
		t.Errorf("Start on 0.0.0.0:0: got error %v (%T), want \"0.0.0.0:0 is not a loopback address\" (a *NotLoopbackError)", err, err)
	}
}
