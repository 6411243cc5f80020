package frontend_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// arrival holds the times at which the first and last byte of an attempt arrived at an app server. They are the kernel's
// timestamps, so that delays of the test's goroutines do not count. last is zero for an incomplete attempt.
type arrival struct{ first, last time.Time }

// arrivalRecorder records the arrivals of attempts at app servers.
type arrivalRecorder struct {
	mu           sync.Mutex           // guards the fields below
	arrivals     map[string][]arrival // keyed by request id
	unattributed int                  // number of attempts without a readable request id
}

// timestampedReader reads a connection and records the kernel's timestamps of the first and the last bytes read.
type timestampedReader struct {
	raw         syscall.RawConn
	first, last time.Time
}

func (r *timestampedReader) Read(p []byte) (n int, err error) {
	control, controlSize := make([]byte, 128), 0
	if rawErr := r.raw.Read(func(fd uintptr) bool {
		n, controlSize, _, _, err = syscall.Recvmsg(int(fd), p, control, 0)
		return !errors.Is(err, syscall.EAGAIN)
	}); rawErr != nil {
		return 0, rawErr
	}
	if err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, io.EOF
	}
	r.last = time.Now().Round(0)
	if messages, err := syscall.ParseSocketControlMessage(control[:controlSize]); err == nil {
		for _, message := range messages {
			if message.Header.Type == syscall.SO_TIMESTAMPNS {
				timestamp := *(*syscall.Timespec)(unsafe.Pointer(&message.Data[0]))
				r.last = time.Unix(timestamp.Unix())
			}
		}
	}
	if r.first.IsZero() {
		r.first = r.last
	}
	return n, nil
}

// listen runs an app server on listener. answer responds to each complete attempt and reports whether the connection stays
// open.
func (r *arrivalRecorder) listen(listener net.Listener, answer func(net.Conn) bool) {
	nettest.ServeConns(listener, func(conn net.Conn) {
		raw, _ := conn.(*net.TCPConn).SyscallConn()
		_ = raw.Control(func(fd uintptr) { // without timestamps, Read uses the time of its return, which is later
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
		})
		timestamped := &timestampedReader{raw: raw}
		for reader := bufio.NewReader(timestamped); ; timestamped.first = (time.Time{}) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				if !timestamped.first.IsZero() {
					r.mu.Lock()
					r.unattributed++
					r.mu.Unlock()
				}
				return
			}
			attempt := arrival{first: timestamped.first}
			_, err = io.Copy(io.Discard, request.Body)
			if err == nil {
				attempt.last = timestamped.last
			}
			id := request.Header.Get(protocol.HeaderRequestID)
			r.mu.Lock()
			r.arrivals[id] = append(r.arrivals[id], attempt)
			r.mu.Unlock()
			if err != nil || !answer(conn) {
				return
			}
		}
	})
}

// startServer starts an app server and returns its endpoint.
func (r *arrivalRecorder) startServer(t *testing.T, answer func(net.Conn) bool) protocol.Endpoint {
	t.Helper()
	listener := nettest.Listen(t)
	go r.listen(listener, answer)
	return frontendtest.Endpoint(listener.Addr().String(), listener)
}
