package memusage

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// Constants of sock_diag(7), from linux/sock_diag.h and linux/inet_diag.h.
const (
	sockDiagByFamily  = 20 // SOCK_DIAG_BY_FAMILY
	diagMemoryInfo    = 7  // INET_DIAG_SKMEMINFO
	allSocketStates   = 1<<32 - 1
	requestBytes      = 56                  // sizeof(struct inet_diag_req_v2)
	messageBytes      = 72                  // sizeof(struct inet_diag_msg)
	inodeOffset       = messageBytes - 4    // offset of idiag_inode
	attributeBytes    = unix.SizeofRtAttr   // sizeof(struct rtattr)
	attributeAlign    = unix.RTA_ALIGNTO    // alignment of attributes
	receiveBufferSize = 256 << 10           // size of one read of the answer
	statesOffset      = 4                   // offset of idiag_states in the request
	extensionsOffset  = 2                   // offset of idiag_ext in the request
	netlinkHeader     = unix.SizeofNlMsghdr // sizeof(struct nlmsghdr)
)

// Indices of the values in INET_DIAG_SKMEMINFO (SK_MEMINFO_*).
const (
	memoryReceive  = 0 // received bytes that were not read, with the kernel's overhead
	memoryForward  = 4 // memory that is reserved for the socket and not in use
	memoryQueued   = 5 // written bytes that were not acknowledged, with the kernel's overhead
	memoryOptions  = 6
	memoryBacklog  = 7
	memoryValueLen = 4 // size of one value in bytes
)

// socketMemory returns the memory of the TCP sockets that a process has open. Sockets that it has not accepted yet don't count.
func socketMemory(pid int) (int64, error) {
	inodes, err := socketInodes(pid)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	err = forEachSocket(func(inode uint32, memory int64) {
		if inodes[inode] {
			total += memory
		}
	})
	return total, err
}

// socketInodes returns the inodes of all sockets that a process has open.
func socketInodes(pid int) (map[uint32]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	inodes := map[uint32]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err != nil {
			continue // The process has closed the descriptor.
		}
		text, isSocket := strings.CutPrefix(target, "socket:[")
		if inode, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32); isSocket && err == nil {
			inodes[uint32(inode)] = true
		}
	}
	return inodes, nil
}

// forEachSocket calls visit for each TCP socket over IPv4 of this network namespace.
func forEachSocket(visit func(inode uint32, memory int64)) error {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return fmt.Errorf("open sock_diag: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, dumpRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return fmt.Errorf("ask sock_diag: %w", err)
	}
	buffer := make([]byte, receiveBufferSize)
	for {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if err != nil {
			return fmt.Errorf("read sock_diag: %w", err)
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:n])
		if err != nil {
			return fmt.Errorf("parse sock_diag: %w", err)
		}
		for _, message := range messages {
			switch message.Header.Type {
			case unix.NLMSG_DONE:
				return nil
			case unix.NLMSG_ERROR:
				return fmt.Errorf("sock_diag reports an error: % x", message.Data)
			}
			if len(message.Data) >= messageBytes {
				visit(binary.NativeEndian.Uint32(message.Data[inodeOffset:]), memoryOf(message.Data[messageBytes:]))
			}
		}
	}
}

// dumpRequest returns a request for all TCP sockets over IPv4, with their memory.
func dumpRequest() []byte {
	request := make([]byte, netlinkHeader+requestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[netlinkHeader:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	body[extensionsOffset] = 1 << (diagMemoryInfo - 1)
	binary.NativeEndian.PutUint32(body[statesOffset:], allSocketStates)
	return request
}

// memoryOf returns the memory that a socket's attributes state, or 0 without that attribute.
func memoryOf(attributes []byte) int64 {
	for len(attributes) >= attributeBytes {
		length := int(binary.NativeEndian.Uint16(attributes))
		kind := binary.NativeEndian.Uint16(attributes[2:])
		if length < attributeBytes || length > len(attributes) {
			return 0
		}
		if kind == diagMemoryInfo {
			return sumMemory(attributes[attributeBytes:length])
		}
		attributes = attributes[min(len(attributes), (length+attributeAlign-1)&^(attributeAlign-1)):]
	}
	return 0
}

// sumMemory returns the sum of the values of INET_DIAG_SKMEMINFO that count held memory.
func sumMemory(values []byte) int64 {
	total := int64(0)
	for _, index := range []int{memoryReceive, memoryForward, memoryQueued, memoryOptions, memoryBacklog} {
		if at := index * memoryValueLen; at+memoryValueLen <= len(values) {
			total += int64(binary.NativeEndian.Uint32(values[at:]))
		}
	}
	return total
}
