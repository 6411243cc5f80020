package transport

import (
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Timer is the node's one timer, a timer of the kernel's that is waited for as sockets are. A timer of Go's
// wakes the scheduler's monitor thread each time too, which on one core cost as much as the tick itself, and
// is up to a millisecond late; twenty ticks a second took a quarter of the CPU time of a node with 30 tickets.
type Timer struct {
	fd   uintptr
	raw  syscall.RawConn
	file *os.File
	b    [8]byte
}

const clockMonotonic = 1

// NewTimer makes an alarm that is not set.
func NewTimer() (*Timer, error) {
	fd, _, e := syscall.RawSyscall(syscall.SYS_TIMERFD_CREATE, clockMonotonic, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if e != 0 {
		return nil, os.NewSyscallError("timerfd_create", e)
	}
	a := &Timer{fd: fd, file: os.NewFile(fd, "alarm")}
	var err error
	a.raw, err = a.file.SyscallConn()
	return a, err
}

// Set lets the alarm go off once, so much later.
func (a *Timer) Set(after time.Duration) {
	spec := [2]syscall.Timespec{{}, syscall.NsecToTimespec(max(1, int64(after)))}
	syscall.RawSyscall6(syscall.SYS_TIMERFD_SETTIME, a.fd, 0, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
}

// Run calls tick each time the alarm goes off, until the alarm is closed.
func (a *Timer) Run(tick func()) {
	for a.raw.Read(a.try) == nil {
		tick()
	}
}

func (a *Timer) try(fd uintptr) bool {
	_, err := call(syscall.SYS_READ, fd, a.b[:], 0)
	return err != syscall.EAGAIN
}

// Close ends Run.
func (a *Timer) Close() { a.file.Close() }
