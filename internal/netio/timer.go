package netio

import (
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Timer is a one-shot timer on a timerfd(2), for which the Go runtime's poller waits as it does for sockets. A timer of the Go
// runtime also wakes the scheduler's monitor thread at each expiry. On one core that costs as much CPU time as the node's tick.
//
// Set and Close are safe for concurrent use with Run.
type Timer struct {
	fd          uintptr
	raw         syscall.RawConn
	file        *os.File
	expirations [8]byte // buffer for the number of expirations, which read(2) returns
}

// NewTimer returns a timer that is not set.
func NewTimer() (*Timer, error) {
	fd, _, errno := syscall.RawSyscall(syscall.SYS_TIMERFD_CREATE, unix.CLOCK_MONOTONIC, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, os.NewSyscallError("timerfd_create", errno)
	}
	t := &Timer{fd: fd, file: os.NewFile(fd, "timer")}
	var err error
	t.raw, err = t.file.SyscallConn()
	return t, err
}

// Set makes the timer expire once after the given duration, instead of at the time set by an earlier call. It does not block.
func (t *Timer) Set(after time.Duration) {
	spec := [2]syscall.Timespec{{}, syscall.NsecToTimespec(max(1, int64(after)))} // A duration of 0 would disarm the timer.
	_, _, _ = syscall.RawSyscall6(syscall.SYS_TIMERFD_SETTIME, t.fd, 0, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
}

// Run calls onExpiry at each expiry, on the caller's goroutine, and returns after Close.
func (t *Timer) Run(onExpiry func()) {
	for t.raw.Read(t.tryRead) == nil {
		onExpiry()
	}
}

// tryRead reads the number of expirations. It returns false if the timer has not expired.
func (t *Timer) tryRead(fd uintptr) bool {
	_, errno := nonblockingSyscall(syscall.SYS_READ, fd, t.expirations[:], 0)
	return errno != syscall.EAGAIN
}

// Close ends Run and releases the timer.
func (t *Timer) Close() { CloseConn(t.file) }
