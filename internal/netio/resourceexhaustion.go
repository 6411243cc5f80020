package netio

import (
	"errors"
	"syscall"
	"time"
)

// ShortagePause is how long to wait before a system call is made again that failed for lack of something on this machine.
const ShortagePause = 5 * time.Millisecond

// LacksResources reports whether a system call failed as this machine has no descriptors, ports or memory left for it. It
// says nothing of whoever is at the other end, and may pass in a moment.
func LacksResources(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN)
}

// LacksRoute reports whether a connection failed before anything left this machine: it has no free port, or no way to
// the address. Where all addresses are alike in that it says nothing of the server.
func LacksRoute(err error) bool {
	return isAny(err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN)
}

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
