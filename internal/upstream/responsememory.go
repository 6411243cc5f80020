package upstream

import (
	"errors"
	"time"

	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
)

// errOverMemory is the error of reading a response for which there was no memory by the attempt's deadline.
var errOverMemory = errors.New("no memory for the response by the attempt's deadline")

// memoryCheckInterval is the time between two checks of whether an attempt that waits for memory was cancelled.
const memoryCheckInterval = 10 * time.Millisecond

// responseMemory accounts for the memory of the responses to one request. It implements protocol.Memory. Only the goroutine of Run
// uses it.
type responseMemory struct {
	runner    *AttemptRunner
	account   membudget.Account
	deadline  time.Time // end of the current attempt
	exhausted bool      // set once the memory for the current attempt's response was missing
}

// open makes the memory that of a runner.
func (m *responseMemory) open(r *AttemptRunner) {
	m.runner = r
	m.account.Open(r.pool.memory, membudget.Response)
}

// Reserve accounts for bytes more. It waits for them until the attempt's deadline or its cancellation. Meanwhile the rest of the
// response stays in the kernel's buffer.
func (m *responseMemory) Reserve(bytes int) error {
	for !m.account.Grow(bytes, netio.Earlier(m.deadline, time.Now().Add(memoryCheckInterval))) {
		if !time.Now().Before(m.deadline) || m.runner.isCancelled() {
			m.exhausted = true
			return errOverMemory
		}
	}
	return nil
}

// isCancelled reports whether the Router cancelled the current attempt.
func (r *AttemptRunner) isCancelled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interruptionLocked().cancelled
}

// HeldMemory returns the number of bytes that the last response takes, beyond those of small responses. Any goroutine may call it.
func (r *AttemptRunner) HeldMemory() int64 { return r.memory.account.Held() }

// ReleaseResponse frees the last response's body, which must not be used any more.
func (r *AttemptRunner) ReleaseResponse() {
	r.body = netio.TrimBuffer(r.body)
	r.memory.account.Release()
}
