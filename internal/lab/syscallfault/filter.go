// Package syscallfault makes system calls of another process fail, as Linux documents that they may: without special
// rights, by a seccomp filter that the process puts on itself before it starts its program, and whose notifications this
// process answers (seccomp_unotify(2)). The program needs no change, and one that calls the kernel without the C library,
// as Go programs do, is reached too.
//
// Exec runs in the child, Injector in the process that decides which calls fail.
package syscallfault

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets in the data that a filter looks at (struct seccomp_data).
const (
	offsetOfNumber = 0
	offsetOfArch   = 4
)

// actionNotify is SECCOMP_RET_USER_NOTIF.
const actionNotify = 0x7fc00000

// Exec puts a filter on this process that reports the system calls with the given numbers, sends the filter's descriptor
// over a Unix socket, and replaces the process with a program. It returns only an error.
func Exec(socket int, numbers []uint32, program string, args, env []string) error {
	runtime.LockOSThread() // the filter is this thread's, and the program's that it starts
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return fmt.Errorf("seccomp: %w", err)
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sending the filter's descriptor: %w", err)
	}
	unix.CloseOnExec(socket)
	unix.CloseOnExec(listener)
	return syscall.Exec(program, args, env)
}

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

// filterProgram reports the calls with the given numbers and allows all others.
func filterProgram(numbers []uint32) []unix.SockFilter {
	program := []unix.SockFilter{
		load(offsetOfArch),
		jumpIfEqual(unix.AUDIT_ARCH_X86_64, 1, 0),
		result(unix.SECCOMP_RET_ALLOW),
		load(offsetOfNumber),
	}
	for i, number := range numbers {
		program = append(program, jumpIfEqual(number, uint8(len(numbers)-i), 0))
	}
	return append(program, result(unix.SECCOMP_RET_ALLOW), result(actionNotify))
}

func load(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

func jumpIfEqual(value uint32, ifEqual, otherwise uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jt: ifEqual, Jf: otherwise}
}

func result(action uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
}
