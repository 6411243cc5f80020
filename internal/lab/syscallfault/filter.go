// Package syscallfault makes system calls of a child process fail with documented errors. The child installs a seccomp
// filter before it executes its program, and the parent answers the filter's notifications (seccomp_unotify(2)). This needs
// no privileges, no change to the program and no C library.
//
// Exec runs in the child process, and an Injector runs in the parent.
package syscallfault

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets of fields in struct seccomp_data, the input of a filter, in bytes.
const (
	offsetOfNumber = 0
	offsetOfArch   = 4
)

// actionNotify is SECCOMP_RET_USER_NOTIF, which makes the kernel notify the parent and wait for its answer.
const actionNotify = 0x7fc00000

// Exec installs a filter on this process, sends the filter's descriptor over a Unix socket, and replaces the process with a
// program. The filter reports the system calls with the given numbers. Exec returns only if it fails.
func Exec(socket int, numbers []uint32, program string, args, env []string) error {
	runtime.LockOSThread() // The filter applies to this thread and to the program that the thread executes.
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("set no_new_privs: %w", err)
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return fmt.Errorf("install the seccomp filter: %w", err)
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the seccomp filter's descriptor: %w", err)
	}
	unix.CloseOnExec(socket)
	unix.CloseOnExec(listener)
	return syscall.Exec(program, args, env)
}

// installFilter installs the filter on this thread and returns the descriptor of its notifications.
func installFilter(numbers []uint32) (listener int, err error) {
	program := filterProgram(numbers)
	fprog := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, uintptr(unsafe.Pointer(&fprog)))
	if errno != 0 {
		return -1, errno
	}
	return int(fd), nil
}

// filterProgram returns a BPF program that reports the system calls with the given numbers and allows all others. It also
// allows all calls of another architecture than the machine's, where the numbers differ.
func filterProgram(numbers []uint32) []unix.SockFilter {
	program := []unix.SockFilter{
		loadWord(offsetOfArch),
		jumpIfEqual(nativeArch, 1, 0),
		returnAction(unix.SECCOMP_RET_ALLOW),
		loadWord(offsetOfNumber),
	}
	for i, number := range numbers {
		program = append(program, jumpIfEqual(number, uint8(len(numbers)-i), 0))
	}
	return append(program, returnAction(unix.SECCOMP_RET_ALLOW), returnAction(actionNotify))
}

// loadWord returns the instruction that loads the 32-bit word at an offset in struct seccomp_data.
func loadWord(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// jumpIfEqual returns an instruction that compares the loaded word with value. It skips ifEqual instructions if they are equal,
// and ifNotEqual instructions if they differ.
func jumpIfEqual(value uint32, ifEqual, ifNotEqual uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jt: ifEqual, Jf: ifNotEqual}
}

// returnAction returns the instruction that ends the program with an action.
func returnAction(action uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
}
