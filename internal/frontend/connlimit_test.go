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

// failingListener fails Accept with each of errors, then returns conn, and then is closed.
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

// Accept retries after transient errors of accept(2). gRPC's server would end at most of them, because they do not call
// themselves temporary.
func TestLimitedListenerOutlastsAcceptErrors(t *testing.T) {
	client, accepted := net.Pipe()
	t.Cleanup(func() { nettest.Close(client) })
	failing := &failingListener{conn: accepted}
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ENFILE, syscall.ETIMEDOUT,
	} {
		failing.errors = append(failing.errors, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)})
	}
	log := zerolog.Nop()
	listener := (&Server{limits: netio.Limits{Sockets: 1024}, log: &log}).LimitListener(failing)
	begun := time.Now()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatalf("%v", err)
	}
	if took := time.Since(begun); took < netio.ErrorPause {
		t.Errorf("no pause between errors: all within %v", took)
	}
	nettest.Close(conn)
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v of a listener that is closed", err)
	}
}
