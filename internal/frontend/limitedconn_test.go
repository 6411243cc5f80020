package frontend

import (
	"net"
	"testing"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
)

// acceptLimited returns a connection of a limited listener, and its client's end.
func acceptLimited(t *testing.T) (*LimitedConn, net.Conn) {
	t.Helper()
	counters := &Counters{}
	server := &Server{limits: netio.Limits{MaxDescriptors: 1024}, counters: counters, overhead: newOverheadPacer(1, counters)}
	listener := server.LimitListener(nettest.Listen(t))
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(client) })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(conn) })
	return conn.(*LimitedConn), client
}

// Protects against rejections over another protocol that take the processor from the requests that are forwarded.
func TestRejectionOfAnotherProtocolWaitsForTheBudget(t *testing.T) {
	conn, _ := acceptLimited(t)
	budget := conn.server.overhead.budget
	for range 100 {
		budget.Charge(time.Now(), cpubudget.Reject, cpubudget.Cost{Whole: 10 * time.Millisecond})
	}
	ended := make(chan struct{})
	close(ended)
	if conn.AwaitRejection(ended) {
		t.Error("AwaitRejection = true for a call that has ended, while the budget is used up; want false")
	}
	startedAt := time.Now()
	delay := budget.Delay(startedAt, cpubudget.Reject)
	if !conn.AwaitRejection(nil) || time.Since(startedAt) < delay {
		t.Errorf("AwaitRejection returned after %v, want true after at least %v", time.Since(startedAt), delay)
	}
}

// Protects against usual clients of another protocol whose reads and writes slow down accepting.
func TestOnlyConnectionsWithoutAForwardedRequestAreCharged(t *testing.T) {
	conn, client := acceptLimited(t)
	exchange := func() time.Duration {
		before := conn.server.overhead.budget.Used()
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("y")); err != nil {
			t.Fatal(err)
		}
		return conn.server.overhead.budget.Used() - before
	}
	if charged := exchange(); charged <= 0 {
		t.Errorf("an exchange before the first forwarded request was charged %v, want more than 0", charged)
	}
	conn.MarkForwarded()
	if charged := exchange(); charged != 0 {
		t.Errorf("an exchange after a forwarded request was charged %v, want 0", charged)
	}
}
