package netio

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Socket is one direction of a TCP connection. Its calls go to the kernel without notifying the scheduler, as
// they never block: net waits for the socket to be ready. On one core each call that the scheduler is notified of wakes
// its monitor thread, which took a quarter of the node's CPU time (docs/results.md).
//
// One goroutine uses a socket at a time. What a call needs and gives is passed in fields, and the functions are made once,
// so that no call allocates.
type Socket struct {
	raw   syscall.RawConn
	Guard ReadGuard // of a client's connection that is read; nil for others

	buf   []byte // what is to be read into or written
	moved int    // how much was
	err   error

	idle      bool // as of the last peek: open with nothing to read
	blind     bool // as of the last peek: it could not be found out
	ended     bool // as of the last peek or hang-up check: closed or reset by the other side
	peekedAt  [1]byte
	readFD    func(fd uintptr) bool
	writeFD   func(fd uintptr) bool
	peekFD    func(fd uintptr) bool // for RawConn.Read
	controlFD func(fd uintptr)      // the same for RawConn.Control
	hangUpFD  func(fd uintptr)
}

// NewSocket returns one direction of conn.
func NewSocket(conn *net.TCPConn) *Socket {
	s := &Socket{}
	s.raw, _ = conn.SyscallConn() // fails for a nil connection only
	s.readFD, s.writeFD, s.peekFD, s.hangUpFD = s.tryRead, s.tryWrite, s.tryPeek, s.checkHangUp
	s.controlFD = func(fd uintptr) { s.tryPeek(fd) }
	return s
}

// Read waits until there is something to read, and reads once.
func (s *Socket) Read(p []byte) (int, error) {
	for s.buf = p; ; time.Sleep(ShortagePause) {
		if err := s.raw.Read(s.readFD); err != nil {
			return 0, err
		}
		if !LacksResources(s.err) {
			return s.moved, s.err
		}
	}
}

// Write writes all of p. While the machine lacks the memory for it, it goes on trying until the write deadline.
func (s *Socket) Write(p []byte) (int, error) {
	for s.buf = p; len(s.buf) > 0; s.buf = s.buf[s.moved:] {
		if err := s.raw.Write(s.writeFD); err != nil {
			return len(p) - len(s.buf), err
		}
		switch {
		case LacksResources(s.err):
			time.Sleep(ShortagePause)
		case s.err != nil:
			return len(p) - len(s.buf), s.err
		}
	}
	return len(p), nil
}

// WaitReadable waits until there is something to read or the connection ended, and reports which; neither where the
// read deadline passed, or where it could not be found out.
func (s *Socket) WaitReadable() (readable, ended bool) {
	err := s.raw.Read(func(fd uintptr) bool {
		s.tryPeek(fd)
		return !s.idle
	})
	return err == nil && !s.ended && !s.blind, err == nil && s.ended
}

// HasInput reports whether there is something to read, be it the connection's end: a read would not wait.
func (s *Socket) HasInput() bool {
	return s.raw.Read(s.peekFD) == nil && !s.idle && !s.blind
}

// IsIdle reports whether the connection is open with nothing to read.
func (s *Socket) IsIdle() bool {
	return s.raw.Read(s.peekFD) == nil && s.idle
}

// HasUnread reports whether bytes, or an end, wait on a connection that another goroutine reads.
func HasUnread(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	s := Socket{}
	return raw.Control(func(fd uintptr) { s.tryPeek(fd) }) == nil && !s.idle
}

// HungUp reports whether the other side has closed the connection, or reset it, be it behind bytes that wait. It leaves
// reading to whoever reads, and makes a second system call only where bytes wait.
func (s *Socket) HungUp() bool {
	if s.raw.Control(s.controlFD) != nil {
		return true
	}
	if !s.idle && !s.ended {
		_ = s.raw.Control(s.hangUpFD) // fails where the connection was closed meanwhile: the next call sees it
	}
	return s.ended
}

// Bits of ppoll(2).
const (
	pollRDHUP = 0x2000
	pollEnded = pollRDHUP | 0x18 // and POLLERR, POLLHUP
)

// maxInterrupts is how often a look that signals interrupt is taken again, before another way is gone.
const maxInterrupts = 3

// checkHangUp asks ppoll(2), without waiting, or where that is interrupted again and again the connection's state. Where
// that fails too the connection counts as open.
func (s *Socket) checkHangUp(fd uintptr) {
	asked := struct {
		fd           int32
		want, events int16
	}{int32(fd), pollRDHUP, 0}
	n, errno := uintptr(0), syscall.EINTR
	for tries := 0; errno == syscall.EINTR; tries++ {
		if tries == maxInterrupts {
			s.ended = peerHasClosed(int(fd))
			return
		}
		var timeout syscall.Timespec // the call may change it
		n, _, errno = syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&asked)), 1,
			uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
	}
	s.ended = errno == 0 && n == 1 && asked.events&pollEnded != 0
}

// HasUnacknowledged reports whether bytes were written that the other side's machine has not acknowledged yet. Where
// that can't be found out, none.
func (s *Socket) HasUnacknowledged() bool {
	const outQueue = 0x5411 // SIOCOUTQ, of tcp(7)
	var queued int32
	err := s.raw.Control(func(fd uintptr) {
		if _, _, errno := syscall.RawSyscall(syscall.SYS_IOCTL, fd, outQueue, uintptr(unsafe.Pointer(&queued))); errno != 0 {
			queued = 0
		}
	})
	return err == nil && queued > 0
}

// The functions below make one system call each; they return false where the socket has to be waited for.

func (s *Socket) tryRead(fd uintptr) bool {
	if s.Guard != nil && !s.Guard.BeginRead() {
		s.moved, s.err = 0, net.ErrClosed
		return true
	}
	n, errno := call(syscall.SYS_READ, fd, s.buf, 0)
	if s.Guard != nil {
		s.Guard.EndRead(errno == 0 && n > 0, errno == syscall.EAGAIN)
	}
	if errno == syscall.EAGAIN {
		return false
	}
	if s.moved, s.err = n, nil; errno != 0 {
		s.moved, s.err = 0, os.NewSyscallError("read", errno)
	} else if n == 0 {
		s.err = io.EOF
	}
	return true
}

func (s *Socket) tryWrite(fd uintptr) bool {
	n, errno := call(syscall.SYS_SENDTO, fd, s.buf, syscall.MSG_NOSIGNAL)
	if errno == syscall.EAGAIN {
		return false
	}
	if s.moved, s.err = n, nil; errno != 0 {
		s.moved, s.err = 0, os.NewSyscallError("write", errno)
	}
	return true
}

// tryPeek never has to wait: what it finds is in idle and ended, or in blind where the machine lacks the memory to look.
func (s *Socket) tryPeek(fd uintptr) bool {
	n, errno := call(syscall.SYS_RECVFROM, fd, s.peekedAt[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	s.idle = errno == syscall.EAGAIN
	s.blind = errno != 0 && !s.idle && LacksResources(errno)
	s.ended = errno != 0 && !s.idle && !s.blind || errno == 0 && n == 0
	return true
}

// call makes one system call on a non-blocking socket, again where a signal interrupts it; p is not empty.
func call(trap, fd uintptr, p []byte, flags uintptr) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall6(trap, fd, uintptr(unsafe.Pointer(&p[0])), uintptr(len(p)), flags, 0, 0)
		if errno != syscall.EINTR {
			return int(n), errno
		}
	}
}

// ReadGuard decides whether a socket may be read, and is told what each read gave. BeginRead is followed by EndRead where it
// returned true.
type ReadGuard interface {
	BeginRead() bool
	EndRead(gotBytes, wouldBlock bool)
}
