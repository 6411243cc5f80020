package netio

import (
	"time"

	"golang.org/x/sys/unix"
)

// Values of tcpi_state, of tcp(7), for a connection that the other side has closed or reset.
const (
	tcpClose     = 7 // TCP_CLOSE
	tcpCloseWait = 8 // TCP_CLOSE_WAIT
)

// peerHasClosed reports whether the other side has closed or reset a connection, by the connection's state.
func peerHasClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
}

// maxReceiveAge bounds ReceiveAge, in case the kernel's figure is implausible.
const maxReceiveAge = 10 * time.Second

// ReceiveAge returns the time since the kernel last received data on the connection, at most maxReceiveAge, or 0 if it is
// unknown. A request that was buffered in the kernel while the listener was full or failing has waited this long.
func (s *Socket) ReceiveAge() time.Duration {
	var info *unix.TCPInfo
	var infoErr error
	err := s.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0
	}
	return min(time.Duration(info.Last_data_recv)*time.Millisecond, maxReceiveAge)
}
