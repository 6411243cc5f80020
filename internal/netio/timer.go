package netio

import (
	"os"
	"syscall"
	"time"
	"unsafe"
)

// clockMonotonic is CLOCK_MONOTONIC, of clock_gettime(2).
const clockMonotonic = 1

// Timer is the node's one timer, a timerfd of the kernel's that is waited for as sockets are. A timer of Go's wakes
// the scheduler's monitor thread each time too, which on one core cost as much as the tick itself, and is up to a
// millisecond late; twenty ticks a second took a quarter of the CPU time of a node with 30 requests (docs/results.md).
type Timer struct {
	fd          uintptr
	raw         syscall.RawConn
	file        *os.File
	expirations [8]byte // what a read of the descriptor fills: how often it expired
}

// NewTimer makes a timer that is not set.
func NewTimer() (*Timer, error) {
	fd, _, errno := syscall.RawSyscall(syscall.SYS_TIMERFD_CREATE, clockMonotonic, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, os.NewSyscallError("timerfd_create", errno)
	}
	t := &Timer{fd: fd, file: os.NewFile(fd, "timer")}
	var err error
	t.raw, err = t.file.SyscallConn()
	return t, err
}

// Set lets the timer expire once, so much later; the last call counts. It does not block.
func (t *Timer) Set(after time.Duration) {
	spec := [2]syscall.Timespec{{}, syscall.NsecToTimespec(max(1, int64(after)))} // 0 would disarm it
	_, _, _ = syscall.RawSyscall6(syscall.SYS_TIMERFD_SETTIME, t.fd, 0, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
}

// Run calls tick each time the timer expires, on the caller's goroutine, and returns once Close was called.
func (t *Timer) Run(tick func()) {
	for t.raw.Read(t.tryRead) == nil {
		tick()
	}
}

func (t *Timer) tryRead(fd uintptr) bool {
	_, errno := call(syscall.SYS_READ, fd, t.expirations[:], 0)
	return errno != syscall.EAGAIN
}

// Close ends Run.
func (t *Timer) Close() { CloseConn(t.file) }
