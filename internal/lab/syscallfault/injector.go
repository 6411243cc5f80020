package syscallfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// InheritedSocket is the descriptor number of the socket in the child process, which the child passes to Exec.
const InheritedSocket = 3

// flagContinue is SECCOMP_USER_NOTIF_FLAG_CONTINUE, which makes the kernel execute the system call.
const flagContinue = 1

// Call is a system call of the child process before its execution.
type Call struct {
	Number int // number of the system call on the machine's architecture
	Args   [6]uint64
}

// Policy returns the error with which a system call fails, or 0 if the kernel shall execute the call. An Injector calls the
// policy only on the goroutine of Run.
type Policy func(Call) syscall.Errno

// Injector decides on the system calls of one child process.
type Injector struct {
	parentEnd, childEnd *os.File // ends of the socket pair over which Exec sends the filter's descriptor
	policy              Policy
	failedCalls         atomic.Int64 // number of system calls that the policy made fail
}

// NewInjector prepares a command that is not started yet and whose program calls Exec. It sets the command's ExtraFiles. The
// caller must call Run after the command's start.
func NewInjector(cmd *exec.Cmd, policy Policy) (*Injector, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("create the socket pair for the filter's descriptor: %w", err)
	}
	i := &Injector{parentEnd: os.NewFile(uintptr(pair[0]), "parent"), childEnd: os.NewFile(uintptr(pair[1]), "child"), policy: policy}
	cmd.ExtraFiles = []*os.File{i.childEnd}
	return i, nil
}

// Failed returns the number of system calls that the policy made fail.
func (i *Injector) Failed() int64 { return i.failedCalls.Load() }

// Run answers the filter's notifications until the child process ends.
func (i *Injector) Run() error {
	_ = i.childEnd.Close() // The child has its own descriptor of this end.
	listener, err := i.receiveListener()
	_ = i.parentEnd.Close()
	if err != nil {
		return err
	}
	defer func() { _ = unix.Close(listener) }()
	for {
		open, err := waitForNotification(listener)
		if err != nil || !open {
			return err
		}
		if err := i.answerNotification(listener); err != nil {
			return err
		}
	}
}

// receiveListener receives the filter's descriptor from the child.
func (i *Injector) receiveListener() (int, error) {
	buffer, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, controlLength, _, _, err := unix.Recvmsg(int(i.parentEnd.Fd()), buffer, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return -1, fmt.Errorf("receive the seccomp filter's descriptor: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(control[:controlLength])
	if err != nil || len(messages) != 1 {
		return -1, fmt.Errorf("message with the seccomp filter's descriptor has %d control messages, want 1: %w", len(messages),
			errors.Join(err, os.ErrInvalid))
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return -1, fmt.Errorf("message with the seccomp filter's descriptor has %d descriptors, want 1: %w", len(descriptors),
			errors.Join(err, os.ErrInvalid))
	}
	return descriptors[0], nil
}

// waitForNotification waits for a notification of the filter. It returns false if the child process has ended.
func waitForNotification(listener int) (open bool, err error) {
	for {
		events := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		_, err := unix.Poll(events, -1)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return false, fmt.Errorf("poll the seccomp filter's descriptor: %w", err)
		case events[0].Revents&unix.POLLIN != 0:
			return true, nil
		default:
			return false, nil
		}
	}
}

// notification has the memory layout of struct seccomp_notif.
type notification struct {
	id      uint64
	pid     uint32
	flags   uint32
	number  int32
	arch    uint32
	pointer uint64
	args    [6]uint64
}

// response has the memory layout of struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// answerNotification receives and answers a notification. If a signal has interrupted the system call, it drops the
// notification.
func (i *Injector) answerNotification(listener int) error {
	var received notification
	if errno := ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&received)); errno != 0 {
		return ignoreInterrupted(errno)
	}
	answer := response{id: received.id, flags: flagContinue}
	if errno := i.policy(Call{Number: int(received.number), Args: received.args}); errno != 0 {
		answer.errno, answer.flags = -int32(errno), 0
		i.failedCalls.Add(1)
	}
	return ignoreInterrupted(ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&answer)))
}

// ignoreInterrupted returns nil for 0 and for the errors of an interrupted system call. It wraps other errors.
func ignoreInterrupted(errno syscall.Errno) error {
	if errno == 0 || errno == unix.ENOENT || errno == unix.EINTR {
		return nil
	}
	return fmt.Errorf("receive or answer a seccomp notification: %w", errno)
}

// ioctl calls ioctl(2) and returns its error, or 0.
func ioctl(fd int, request uintptr, argument unsafe.Pointer) syscall.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(argument))
	return errno
}
