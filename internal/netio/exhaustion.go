package netio

import (
	"errors"
	"syscall"
	"time"
)

// ExhaustionRetryInterval is the time between two tries of a system call that failed by resource exhaustion.
const ExhaustionRetryInterval = 5 * time.Millisecond

// IsResourceExhaustion reports whether a system call failed because this machine has no file descriptors, ports or memory
// left. The error is local and often transient, and says nothing about the other side of a connection.
func IsResourceExhaustion(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN)
}

// IsUnroutable reports whether a connect failed before a packet left this machine, for lack of a free port or of a route to
// the address. If connects to all addresses fail this way, the error says nothing about the server.
func IsUnroutable(err error) bool {
	return isAny(err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN)
}

// isAny reports whether err is one of the causes. It is false for a nil error.
func isAny(err error, causes ...syscall.Errno) bool {
	if err == nil {
		return false
	}
	for _, cause := range causes {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
