package protocol

import "net/http"

// Memory accounts for the memory of one message while it is read. A nil Memory accounts for nothing.
type Memory interface {
	// Reserve accounts for further bytes of the message. After an error the message is not read further, and the error is
	// that of the reader, such as ErrOverMemory.
	Reserve(bytes int) error
}

// ErrOverMemory is the error for a request that does not fit into the node's memory.
var ErrOverMemory = &RequestError{Status: http.StatusServiceUnavailable, Reason: "over the memory budget"}

// Sizes of a message that Memory does not count, in bytes. They are part of a connection's fixed memory.
const (
	uncountedHead = 1 << 10
	uncountedBody = 1 << 10
)

// copiesOfMessage is the number of copies of a message that are counted: the node's own, and the one in the kernel's buffers or, for
// a head, the texts before the last growth.
const copiesOfMessage = 2

// growCapacity returns a capacity of at least size bytes for a buffer that has too little, and accounts for what exceeds uncounted bytes.
// Capacities double up to limit.
func growCapacity(current, size, uncounted, limit int, memory Memory) (int, error) {
	capacity := max(size, 2*current, uncounted)
	if 2*capacity > limit { // another step would not double the capacity
		capacity = max(size, limit)
	}
	if memory != nil && capacity > uncounted {
		if err := memory.Reserve(copiesOfMessage * (capacity - max(current, uncounted))); err != nil {
			return current, err
		}
	}
	return capacity, nil
}

// grow returns buf with a capacity of at least size bytes, as growCapacity gives it.
func grow(buf []byte, size, uncounted, limit int, memory Memory) ([]byte, error) {
	if size <= cap(buf) {
		return buf, nil
	}
	capacity, err := growCapacity(cap(buf), size, uncounted, limit, memory)
	if err != nil {
		return buf, err
	}
	return append(make([]byte, 0, capacity), buf...), nil
}
