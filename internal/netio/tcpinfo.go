package netio

import (
	"time"

	"golang.org/x/sys/unix"
)

// Values of tcpi_state in TCP_INFO for a connection that the other side has closed or reset; see tcp(7).
const (
	tcpClose     = 7 // TCP_CLOSE
	tcpCloseWait = 8 // TCP_CLOSE_WAIT
)

// peerHasClosed reports whether the other side has closed or reset a connection. It returns false if TCP_INFO fails.
func peerHasClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
}

// maxReceiveAge is the maximum of ReceiveAge, in case the kernel reports an implausible value.
const maxReceiveAge = 10 * time.Second

// ReceiveAge returns the time since the kernel last received data on the connection, at most maxReceiveAge. It returns 0 if the
// time is unknown. A request has waited this long if the kernel buffered it while the listener was full or failing.
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
