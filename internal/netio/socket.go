package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Socket is one direction of a TCP connection. Its system calls bypass the Go scheduler. They never block, because package net
// waits until the socket is ready. The scheduler's monitor thread wakes up at each system call of which the scheduler is
// notified. On one core these wakeups take a large share of the CPU time.
//
// One goroutine uses a Socket at a time. Arguments and results of system calls are fields, and NewSocket creates the
// callbacks, so that no call allocates.
type Socket struct {
	Hook ReadHook // called around each read; nil if reads are always allowed

	raw          syscall.RawConn
	lastTransfer atomic.Int64 // time of the last transfer of bytes, in nanoseconds after clockStart; 0 before the first
	systemTime   atomic.Int64 // time in the system calls that read and write, in nanoseconds

	buf         []byte // destination of the current read, or bytes of the current write
	transferred int    // number of bytes that the last system call read or wrote
	err         error  // error of the last read or write

	input      inputState // result of the last peek or hang-up check
	peekBuffer [1]byte
	readFD     func(fd uintptr) bool
	writeFD    func(fd uintptr) bool
	peekFD     func(fd uintptr) bool // tryPeek as a callback of RawConn.Read
	waitFD     func(fd uintptr) bool // tryPeek as a callback of RawConn.Read that waits for input
	controlFD  func(fd uintptr)      // tryPeek as a callback of RawConn.Control
	hangUpFD   func(fd uintptr)
}

// ErrReadAheadStopped is the error of a read that a ReadHook forbids for now. The stream has not ended.
var ErrReadAheadStopped = errors.New("read-ahead stopped")

// ReadHook is called before and after each read of a Socket. If BeginRead returns an error, the read returns that error. Otherwise the
// Socket makes one non-blocking system call and then calls EndRead.
type ReadHook interface {
	BeginRead() error
	EndRead(result ReadResult)
}

// ReadResult is the result of one system call that reads.
type ReadResult int

// The possible read results.
const (
	ReadEnded      ReadResult = iota // The stream ended or failed.
	ReadBytes                        // The call read at least one byte.
	ReadWouldBlock                   // No byte has arrived yet.
)

// inputState is the state of a connection's input.
type inputState int

const (
	inputNone    inputState = iota // The connection is open and has nothing to read.
	inputPending                   // There are bytes to read.
	inputEnded                     // The other side has closed or reset the connection.
	inputUnknown                   // The peek failed by resource exhaustion.
)

// NewSocket returns one direction of conn.
func NewSocket(conn *net.TCPConn) *Socket {
	s := &Socket{}
	s.raw, _ = conn.SyscallConn() // This fails only for a nil connection.
	s.readFD, s.writeFD, s.peekFD, s.hangUpFD = s.tryRead, s.tryWrite, s.tryPeek, s.checkHangUp
	s.controlFD = func(fd uintptr) { s.tryPeek(fd) }
	s.waitFD = func(fd uintptr) bool {
		s.tryPeek(fd)
		return s.input != inputNone
	}
	return s
}

// Read waits for input and reads once. It retries after resource exhaustion.
func (s *Socket) Read(p []byte) (int, error) {
	for s.buf = p; ; time.Sleep(ExhaustionRetryInterval) {
		if err := s.raw.Read(s.readFD); err != nil {
			return 0, err
		}
		if !IsResourceExhaustion(s.err) {
			return s.transferred, s.err
		}
	}
}

// Write writes all of p. It retries after resource exhaustion until the write deadline.
func (s *Socket) Write(p []byte) (int, error) {
	for s.buf = p; len(s.buf) > 0; s.buf = s.buf[s.transferred:] {
		if err := s.raw.Write(s.writeFD); err != nil {
			return len(p) - len(s.buf), err
		}
		switch {
		case IsResourceExhaustion(s.err):
			time.Sleep(ExhaustionRetryInterval)
		case s.err != nil:
			return len(p) - len(s.buf), s.err
		}
	}
	return len(p), nil
}

// Readiness is the result of WaitReadable.
type Readiness int

// The possible readiness values.
const (
	ReadinessUnknown Readiness = iota // The read deadline passed, or the connection's state is unknown.
	Readable                          // There are bytes to read.
	Ended                             // The other side has closed or reset the connection.
)

// WaitReadable waits for input, the connection's end or the read deadline. It consumes no input.
func (s *Socket) WaitReadable() Readiness {
	err := s.raw.Read(s.waitFD)
	switch {
	case err == nil && s.input == inputEnded:
		return Ended
	case err == nil && s.input == inputPending:
		return Readable
	}
	return ReadinessUnknown
}

// HasInput reports whether a read would return at once, with bytes or the connection's end.
func (s *Socket) HasInput() bool {
	return s.raw.Read(s.peekFD) == nil && (s.input == inputPending || s.input == inputEnded)
}

// IsIdle reports whether the connection is open and has nothing to read.
func (s *Socket) IsIdle() bool {
	return s.raw.Read(s.peekFD) == nil && s.input == inputNone
}

// HasPendingInput reports whether bytes or the end of a connection are pending in the kernel. Another goroutine may read the
// connection at the same time. HasPendingInput returns true if the peek fails by resource exhaustion, and false for a
// connection that this process has closed.
func HasPendingInput(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	s := Socket{}
	return raw.Control(func(fd uintptr) { s.tryPeek(fd) }) == nil && s.input != inputNone
}

// HasHungUp is as Socket.HungUp, for a connection that has no Socket yet.
func HasHungUp(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	s := Socket{}
	err = raw.Control(func(fd uintptr) {
		s.tryPeek(fd)
		if s.input == inputPending || s.input == inputUnknown {
			s.checkHangUp(fd)
		}
	})
	return err != nil || s.input == inputEnded
}

// Peek copies pending bytes of a connection into p, which must not be empty, without consuming them. It returns their number, which is 0
// without input, for a connection that has ended, and if the peek fails.
func Peek(conn *net.TCPConn, p []byte) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	copied := 0
	_ = raw.Control(func(fd uintptr) { // This fails only for a closed connection.
		if n, errno := nonblockingSyscall(syscall.SYS_RECVFROM, fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); errno == 0 {
			copied = n
		}
	})
	return copied
}

// HungUp reports whether the other side has closed or reset the connection, even if unread bytes precede the close. It returns
// true for a connection that this process has closed. Another goroutine may read through a separate Socket at the same time.
func (s *Socket) HungUp() bool {
	if s.raw.Control(s.controlFD) != nil {
		return true
	}
	if s.input == inputPending || s.input == inputUnknown {
		_ = s.raw.Control(s.hangUpFD) // This fails only if the connection was closed meanwhile, which the next call reports.
	}
	return s.input == inputEnded
}

// pollEnded holds the events that ppoll(2) reports for a connection that the other side has closed or reset.
const pollEnded = unix.POLLRDHUP | unix.POLLERR | unix.POLLHUP

// maxInterrupts is the number of ppoll(2) calls interrupted by signals after which checkHangUp uses TCP_INFO instead.
const maxInterrupts = 3

// checkHangUp sets input to inputEnded if ppoll(2) reports a hang-up. If signals keep interrupting ppoll, TCP_INFO decides. If
// both fail, the connection counts as open.
func (s *Socket) checkHangUp(fd uintptr) {
	descriptor := struct {
		fd           int32
		want, events int16
	}{int32(fd), unix.POLLRDHUP, 0}
	n, errno := uintptr(0), syscall.EINTR
	for attempts := 0; errno == syscall.EINTR; attempts++ {
		if attempts == maxInterrupts {
			if peerHasClosed(int(fd)) {
				s.input = inputEnded
			}
			return
		}
		var timeout syscall.Timespec // The system call may change the timeout, so each call gets a new one.
		n, _, errno = syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptor)), 1,
			uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
	}
	if errno == 0 && n == 1 && descriptor.events&pollEnded != 0 {
		s.input = inputEnded
	}
}

// HasUnacknowledged reports whether the kernel holds written bytes that the other side has not acknowledged. It returns
// false if that is unknown. Any goroutine may call it.
func (s *Socket) HasUnacknowledged() bool { return s.Unacknowledged() > 0 }

// Unacknowledged returns the number of written bytes that the kernel holds because the other side has not acknowledged them. It
// returns 0 if that is unknown. Any goroutine may call it.
func (s *Socket) Unacknowledged() int {
	var queued int32 // number of unacknowledged bytes, the result of SIOCOUTQ; see tcp(7)
	err := s.raw.Control(func(fd uintptr) {
		if _, _, errno := syscall.RawSyscall(syscall.SYS_IOCTL, fd, unix.SIOCOUTQ, uintptr(unsafe.Pointer(&queued))); errno != 0 {
			queued = 0
		}
	})
	if err != nil {
		return 0
	}
	return int(queued)
}

// The callbacks below make one system call each. They return false if the caller has to wait until the socket is ready.

func (s *Socket) tryRead(fd uintptr) bool {
	if s.Hook != nil {
		if s.err = s.Hook.BeginRead(); s.err != nil {
			s.transferred = 0
			return true
		}
	}
	calledAt := time.Since(clockStart)
	n, errno := nonblockingSyscall(syscall.SYS_READ, fd, s.buf, 0)
	returnedAt := s.recordCall(calledAt)
	if s.Hook != nil {
		s.Hook.EndRead(readResult(n, errno))
	}
	if errno == syscall.EAGAIN {
		return false
	}
	if s.transferred, s.err = n, nil; errno != 0 {
		s.transferred, s.err = 0, os.NewSyscallError("read", errno)
	} else if n == 0 {
		s.err = io.EOF
	}
	s.recordTransfer(returnedAt)
	return true
}

// readResult classifies the result of a read system call.
func readResult(n int, errno syscall.Errno) ReadResult {
	switch {
	case errno == syscall.EAGAIN:
		return ReadWouldBlock
	case errno == 0 && n > 0:
		return ReadBytes
	}
	return ReadEnded
}

func (s *Socket) tryWrite(fd uintptr) bool {
	calledAt := time.Since(clockStart)
	n, errno := nonblockingSyscall(syscall.SYS_SENDTO, fd, s.buf, syscall.MSG_NOSIGNAL)
	returnedAt := s.recordCall(calledAt)
	if errno == syscall.EAGAIN {
		return false
	}
	if s.transferred, s.err = n, nil; errno != 0 {
		s.transferred, s.err = 0, os.NewSyscallError("write", errno)
	}
	s.recordTransfer(returnedAt)
	return true
}

// clockStart is the origin of the times in a Socket.
var clockStart = time.Now()

// recordCall adds the time of a system call that was made at calledAt, and returns the time of its return. Both count from clockStart.
func (s *Socket) recordCall(calledAt time.Duration) time.Duration {
	returnedAt := time.Since(clockStart)
	s.systemTime.Add(int64(returnedAt - calledAt))
	allSystemTime.Add(int64(returnedAt - calledAt))
	return returnedAt
}

// allSystemTime is the sum of Socket.systemTime over all sockets of the process.
var allSystemTime atomic.Int64

// AllSystemTime returns the time that the system calls of the reads and writes of all Sockets took since the process's start.
func AllSystemTime() time.Duration { return time.Duration(allSystemTime.Load()) }

// ProcessorTime returns the processor time that the process has used, in user mode and in the kernel. It returns 0 if that is unknown.
func ProcessorTime() time.Duration {
	var spent unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &spent) != nil {
		return 0
	}
	return time.Duration(spent.Nano())
}

// SystemTime returns the time that the system calls of all reads and writes took, without the waits between them. Any goroutine may
// call it.
func (s *Socket) SystemTime() time.Duration { return time.Duration(s.systemTime.Load()) }

// recordTransfer records the time, which counts from clockStart, if the last system call transferred bytes.
func (s *Socket) recordTransfer(at time.Duration) {
	if s.transferred > 0 {
		s.lastTransfer.Store(int64(at))
	}
}

// LastTransfer returns the time at which bytes were last read or written. Before the first, it returns a time before the socket was
// opened. Any goroutine may call it.
func (s *Socket) LastTransfer() time.Time {
	return clockStart.Add(time.Duration(s.lastTransfer.Load()))
}

// tryPeek sets input. It always returns true, because a peek gives a result immediately.
func (s *Socket) tryPeek(fd uintptr) bool {
	n, errno := nonblockingSyscall(syscall.SYS_RECVFROM, fd, s.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errno == syscall.EAGAIN:
		s.input = inputNone
	case errno != 0 && IsResourceExhaustion(errno):
		s.input = inputUnknown
	case errno != 0 || n == 0:
		s.input = inputEnded
	default:
		s.input = inputPending
	}
	return true
}

// nonblockingSyscall makes one system call on a non-blocking descriptor, and repeats it if a signal interrupts it. p must not
// be empty.
func nonblockingSyscall(trap, fd uintptr, p []byte, flags uintptr) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall6(trap, fd, uintptr(unsafe.Pointer(&p[0])), uintptr(len(p)), flags, 0, 0)
		if errno != syscall.EINTR {
			return int(n), errno
		}
	}
}
