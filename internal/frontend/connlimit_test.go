package frontend

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
)

// failingListener is a listener whose Accept returns each of errors, then conn, and then net.ErrClosed.
type failingListener struct {
	net.Listener
	errors []error
	conn   net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *failingListener) Close() error { return nil }

// A transient error of accept(2) must not stop the gRPC front end. Most of these errors would end gRPC's server, because
// they do not report themselves as temporary. Accept therefore retries after each.
func TestLimitedListenerRetriesAcceptErrors(t *testing.T) {
	listening := nettest.Listen(t)
	client, err := net.Dial("tcp", listening.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(client) })
	accepted, err := listening.Accept()
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{conn: accepted}
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ENFILE, syscall.ETIMEDOUT,
	} {
		failing.errors = append(failing.errors, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)})
	}
	log, counters := zerolog.Nop(), &Counters{}
	server := &Server{limits: netio.Limits{MaxDescriptors: 1024}, log: &log, counters: counters, overhead: newOverheadPacer(1, counters)}
	listener := server.LimitListener(failing)
	startedAt := time.Now()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatalf("Accept after transient errors = %v, want a connection", err)
	}
	if took := time.Since(startedAt); took < netio.ErrorRetryDelay {
		t.Errorf("Accept with transient errors took %v, want at least %v, the pause after an error", took, netio.ErrorRetryDelay)
	}
	nettest.Close(conn)
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept on a closed listener = %v, want %v", err, net.ErrClosed)
	}
}
