package grpcfrontend

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	auth "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"cherrygap/internal/authz"
	"cherrygap/internal/frontend"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// The tests of this file guard the bytes and names on the wire against change. Clients and authorizers depend on them.

// checkText runs a subtest, which fails if got and want differ.
func checkText(t *testing.T, name, got, want string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got  %q\nwant %q", name, got, want)
		}
	})
}

// Guards against messages whose encoding changes, or that do not decode to the same fields.
func TestMessageWireFormat(t *testing.T) {
	for _, c := range []struct {
		name    string
		message proto.Message
		want    string
	}{
		{"request", &Ticket{Id: "9b1f", Band: "seats", Customer: 1 << 32, Plan: "team", Units: 2.5, Spread: 3, First: 1, Body: []byte("two seats"), Type: "text/plain", Key: "k-1"}, "\n\x049b1f\x12\x05seats\x18\x80\x80\x80\x80\x10\"\x04team)\x00\x00\x00\x00\x00\x00\x04@0\x038\x01B\ttwo seatsJ\ntext/plainR\x03k-1"},
		{"empty request", &Ticket{}, ""},
		{"answer", &Answer{Body: []byte("ok"), Type: "text/plain"}, "\n\x02ok\x12\ntext/plain"},
		{"empty answer", &Answer{}, ""},
	} {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.message)
		if err != nil {
			t.Fatalf("%s: marshal: %v", c.name, err)
		}
		checkText(t, c.name, string(raw), c.want)
		decoded := c.message.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(raw, decoded); err != nil || !proto.Equal(decoded, c.message) {
			t.Errorf("%s: Unmarshal(%q) = %v, %v, want %v", c.name, raw, decoded, err, c.message)
		}
	}
}

// Guards against a changed name, type or field number of the service, which would break the generated code of clients.
func TestServiceDescriptor(t *testing.T) {
	file := (&Ticket{}).ProtoReflect().Descriptor().ParentFile()
	got := string(file.Package())
	for i := range file.Services().Len() {
		s := file.Services().Get(i)
		for k := range s.Methods().Len() {
			m := s.Methods().Get(k)
			got += fmt.Sprintf("; rpc %s(%s) %s stream %v %v", m.FullName(), m.Input().FullName(), m.Output().FullName(),
				m.IsStreamingClient(), m.IsStreamingServer())
		}
	}
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		got += fmt.Sprintf("; %s {", m.FullName())
		for k := range m.Fields().Len() {
			f := m.Fields().Get(k)
			got += fmt.Sprintf("%s %s=%d,", f.Kind(), f.JSONName(), f.Number())
		}
		got += "}"
	}
	for _, c := range []struct{ name, got, want string }{
		{"descriptor", got, "cherrygap.gate.v1; rpc cherrygap.gate.v1.Gate.Pass(cherrygap.gate.v1.Ticket) cherrygap.gate.v1.Answer stream false false; cherrygap.gate.v1.Ticket {string id=1,string band=2,uint64 customer=3,string plan=4,double units=5,uint32 spread=6,uint32 first=7,bytes body=8,string type=9,string key=10,}; cherrygap.gate.v1.Answer {bytes body=1,string type=2,}"},
		{"registered", fmt.Sprint(Gate_ServiceDesc.ServiceName, Gate_ServiceDesc.Methods[0].MethodName, len(Gate_ServiceDesc.Methods), len(Gate_ServiceDesc.Streams)), "cherrygap.gate.v1.GatePass1 0"},
		{"full method", Gate_Pass_FullMethodName, "/cherrygap.gate.v1.Gate/Pass"},
	} {
		checkText(t, c.name, c.got, c.want)
	}
}

// authorizerRecorder is an authorizer that records its last call and answers with a chosen status.
type authorizerRecorder struct {
	auth.UnimplementedAuthorizationServer
	mu           sync.Mutex // guards the fields below
	method       string     // full name of the called method
	metadataKeys []string   // sorted keys of the metadata
	rawRequest   []byte     // encoded CheckRequest
	code         codes.Code // status to answer with
}

// Check records the call and returns a response with the chosen status.
func (r *authorizerRecorder) Check(ctx context.Context, request *auth.CheckRequest) (*auth.CheckResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incoming, _ := metadata.FromIncomingContext(ctx)
	r.metadataKeys = slices.Sorted(maps.Keys(incoming))
	r.method, _ = grpc.Method(ctx)
	var err error
	r.rawRequest, err = proto.MarshalOptions{Deterministic: true}.Marshal(request)
	return &auth.CheckResponse{Status: &rpc.Status{Code: int32(r.code)}}, err
}

// Guards against a message to the authorizer whose encoding, method or metadata changes, and against a wrong verdict for a status.
func TestCheckRequestWireFormat(t *testing.T) {
	listener, err := net.Listen("tcp", nettest.LoopbackAddr())
	if err != nil {
		t.Fatalf("listen for the authorizer: %v", err)
	}
	server, recorder := grpc.NewServer(), &authorizerRecorder{}
	auth.RegisterAuthorizationServer(server, recorder)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	a := dialTestAuthorizer(t, listener.Addr().String())
	request := &protocol.Request{
		Method: "POST", URI: "/buy/x/00000000b4d65521?a=1", Host: "api", ID: "9b1f", Class: "buy", Plan: "team", Customer: 0xb4d65521,
		Units: 2.5, Spread: 3, FirstNode: 1, Body: []byte("two seats"), IdempotencyKey: "k-1", ContentType: "text/plain",
	}
	for _, c := range []struct {
		code codes.Code
		want authz.Verdict
	}{
		{codes.PermissionDenied, authz.Deny},
		{codes.Unauthenticated, authz.Deny},
		{codes.Internal, authz.Reject},
		{99, authz.Reject},
		{codes.OK, authz.Allow},
	} {
		recorder.mu.Lock()
		recorder.code = c.code
		recorder.mu.Unlock()
		if verdict := a.Check(context.Background(), request, 8*time.Second).Verdict; verdict != c.want {
			t.Errorf("Check with the authorizer's status %v: verdict %d, want %d (0 check needed, 1 allow, 2 deny, 3 reject)", c.code, verdict, c.want)
		}
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	want := &auth.CheckRequest{Attributes: &auth.AttributeContext{
		Source: &auth.AttributeContext_Peer{Principal: "00000000b4d65521", Address: &core.Address{}},
		Request: &auth.AttributeContext_Request{Http: &auth.AttributeContext_HttpRequest{
			Id: "9b1f", Method: "POST",
			Path: "/buy/x/00000000b4d65521?a=1", Host: "api", Protocol: "HTTP/1.1", Size: 9, Headers: map[string]string{"x-tariff": "team"},
		}},
		ContextExtensions: map[string]string{"band": "buy", "plan": "team", "customer": "00000000b4d65521", "units": "2.5"},
	}}
	if raw, err := (proto.MarshalOptions{Deterministic: true}).Marshal(want); err != nil || string(raw) != string(recorder.rawRequest) {
		t.Errorf("the authorizer got the message %q, want %q (marshal error %v)", recorder.rawRequest, raw, err)
	}
	for _, c := range []struct{ name, got, want string }{
		{"request", string(recorder.rawRequest), "\n\xad\x01\n\x14\n\x00\"\x1000000000b4d65521\"N\x12L\n\x049b1f\x12\x04POST\x1a\x10\n\bx-tariff\x12\x04team\"\x1b/buy/x/00000000b4d65521?a=1*\x03apiH\tR\bHTTP/1.1R\v\n\x04band\x12\x03buyR\x1c\n\bcustomer\x12\x1000000000b4d65521R\f\n\x04plan\x12\x04teamR\f\n\x05units\x12\x032.5"},
		{"method", recorder.method, "/envoy.service.auth.v3.Authorization/Check"},
		{"metadata", strings.Join(recorder.metadataKeys, " "), ":authority content-type user-agent"},
	} {
		checkText(t, c.name, c.got, c.want)
	}
}

// stubAuthorizer maps each class to the verdict on its requests.
type stubAuthorizer map[string]authz.Verdict

// Check returns the verdict of the request's class.
func (s stubAuthorizer) Check(_ context.Context, request *protocol.Request, _ time.Duration) frontend.Authorization {
	return frontend.Authorization{Verdict: s[request.Class]}
}

// appRecorder is an app server that records its attempts. Of the attempt timeout, which varies, it records only the
// presence.
type appRecorder struct {
	mu       sync.Mutex        // guards attempts
	attempts map[string]string // text of the last attempt, by request id
}

// serve records an attempt. It closes the connection for customers whose hexadecimal number ends with fe, and rejects
// those whose number ends with ff.
func (a *appRecorder) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	r.Header.Set(protocol.HeaderTimeout, fmt.Sprint(r.Header.Get(protocol.HeaderTimeout) != ""))
	a.attempts[r.Header.Get(protocol.HeaderRequestID)] = fmt.Sprintf("%s %s %s %s %v", r.Method, r.RequestURI, r.Proto, r.Host, r.Header)
	a.mu.Unlock()
	switch {
	case strings.HasSuffix(r.URL.Path, "fe"):
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	case strings.HasSuffix(r.URL.Path, "ff"):
		w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "text/plain")
		_, _ = fmt.Fprint(w, "ok")
	}
}

// describeCall returns the text of the answer to a call, or of its status with the types of the details.
func describeCall(ctx context.Context, n *node, call *Ticket) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	a, err := n.client.Pass(ctx, call)
	if err == nil {
		return fmt.Sprintf("%q %q", a.Body, a.Type)
	}
	s := status.Convert(err)
	got := fmt.Sprintf("%s %q", s.Code(), s.Message())
	for _, d := range s.Proto().Details {
		got += " " + d.TypeUrl
	}
	return got
}

// Guards against a changed answer or status of a call, and against changed headers at the app server.
func TestAnswersAndStatuses(t *testing.T) {
	app := &appRecorder{attempts: map[string]string{}}
	n := startNode(t, stubAuthorizer{"look": authz.Allow, "buy": authz.Allow}, app.serve)
	denied := startNode(t, stubAuthorizer{"look": authz.Deny, "buy": authz.Reject}, func(http.ResponseWriter, *http.Request) {})
	for _, c := range []struct {
		name    string
		node    *node
		request *Ticket
		want    string
	}{
		{"buy", n, &Ticket{Id: "1", Band: "buy", Plan: "team", Customer: 5, Units: 1, Spread: 1, Body: []byte("two"), Type: "a/b", Key: "k"}, "\"ok\" \"text/plain\""},
		{"look", n, &Ticket{Id: "2", Band: "look", Plan: "team", Customer: 5, Units: 1, Spread: 1}, "\"ok\" \"text/plain\""},
		{"rejected", n, &Ticket{Id: "3", Band: "look", Plan: "team", Customer: 255, Units: 1, Spread: 1}, "Unavailable \"bounced: trying again is harmless\" type.googleapis.com/google.rpc.RetryInfo"},
		{"failed", n, &Ticket{Id: "4", Band: "buy", Plan: "team", Customer: 254, Units: 1, Spread: 1}, "Unknown \"broken off: it may have run\""},
		{"denied", denied, &Ticket{Id: "5", Band: "look", Plan: "team", Customer: 5, Units: 1, Spread: 1}, "PermissionDenied \"not allowed\""},
		{"rejected by the authorizer", denied, &Ticket{Id: "6", Band: "buy", Plan: "team", Customer: 5, Units: 1, Spread: 1}, "Unavailable \"bounced: trying again is harmless\""},
		{"same id", n, &Ticket{Id: "1", Band: "look", Plan: "team", Units: 1, Spread: 1}, "AlreadyExists \"id of another ticket\""},
		{"unknown class", n, &Ticket{Id: "9", Band: "fly", Plan: "team", Units: 1, Spread: 1}, "NotFound \"unknown band or plan\""},
		{"unknown plan", n, &Ticket{Id: "9", Band: "look", Plan: "gold", Units: 1, Spread: 1}, "NotFound \"unknown band or plan\""},
		{"no id", n, &Ticket{Band: "look", Plan: "team", Units: 1, Spread: 1}, "InvalidArgument \"malformed id\""},
		{"invalid key", n, &Ticket{Id: "9", Band: "buy", Plan: "team", Units: 1, Spread: 1, Key: "a\nb"}, "InvalidArgument \"odd type or key\""},
		{"units too high", n, &Ticket{Id: "9", Band: "look", Plan: "team", Units: 7, Spread: 1}, "InvalidArgument \"figures outside the settings\""},
		{"spread too high", n, &Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 2}, "InvalidArgument \"figures outside the settings\""},
		{"no spread", n, &Ticket{Id: "9", Band: "look", Plan: "team", Units: 1}, "InvalidArgument \"malformed units or set\""},
		{"customer too high", n, &Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 1, Customer: 1 << 33}, "InvalidArgument \"malformed customer\""},
		{"body of a get", n, &Ticket{Id: "9", Band: "look", Plan: "team", Units: 1, Spread: 1, Body: []byte("x")}, "InvalidArgument \"a band that is safe to repeat takes no body\""},
		{"body too large", n, &Ticket{Id: "9", Band: "buy", Plan: "team", Units: 1, Spread: 1, Body: make([]byte, protocol.MaxBody+1)}, "InvalidArgument \"body too large\""},
		{"message too large", n, &Ticket{Id: "9", Band: "buy", Plan: "team", Units: 1, Spread: 1, Body: make([]byte, 2*protocol.MaxBody)}, "ResourceExhausted \"grpc: received message larger than max (131101 vs. 131072)\""},
	} {
		checkText(t, c.name, describeCall(t.Context(), c.node, c.request), c.want)
	}
	app.mu.Lock()
	defer app.mu.Unlock()
	for _, c := range []struct{ name, got, want string }{
		{"buy at the app server", app.attempts["1"], "POST /buy/0000000000000005 HTTP/1.1 gate map[Content-Length:[3] Content-Type:[a/b] Idempotency-Key:[k] X-Budget-Ms:[true] X-Call-Id:[1]]"},
		{"look at the app server", app.attempts["2"], "GET /look/0000000000000005 HTTP/1.1 gate map[X-Budget-Ms:[true] X-Call-Id:[2]]"},
	} {
		checkText(t, c.name, c.got, c.want)
	}
}

// Guards against a class with the wrong HTTP method, and against a class name that breaks the path.
func TestHTTPMethodsOfClasses(t *testing.T) {
	for _, c := range []struct {
		name string
		set  settings.Values
		want string
	}{
		{"no classes", nil, "map[] <nil>"},
		{"three classes", settings.Values{"class.0.name": "look", "class.0.retry_safety": "safe", "class.1.name": "buy", "class.1.retry_safety": "keyed", "class.2.name": "x"}, "map[buy:POST look:GET x:POST] <nil>"},
		{"invalid path segment", settings.Values{"class.0.name": "a/b"}, "map[] class \"a/b\": name is not a path segment"},
	} {
		got, err := HTTPMethods(settings.Parse(c.set))
		checkText(t, c.name, fmt.Sprint(got, err), c.want)
	}
}
