package netio

import (
	"time"

	"golang.org/x/sys/unix"
)

// States of a connection whose other side has closed it or reset it, of tcp(7): TCP_CLOSE and TCP_CLOSE_WAIT.
const (
	stateClosed    = 7
	stateCloseWait = 8
)

// peerHasClosed reports whether the other side has closed a connection, by the connection's state.
func peerHasClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == stateClosed || info.State == stateCloseWait)
}

// maxKernelWait bounds how long bytes are taken to have waited, should the kernel's figure make no sense.
const maxKernelWait = 10 * time.Second

// KernelWait is how long ago the last bytes came on a connection that were not there before: for how long a request that
// was just read had waited in the kernel, as behind a full or failing listener. It is 0 where that can't be found out.
func (s *Socket) KernelWait() time.Duration {
	var info *unix.TCPInfo
	var infoErr error
	err := s.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0
	}
	return min(time.Duration(info.Last_data_recv)*time.Millisecond, maxKernelWait)
}
