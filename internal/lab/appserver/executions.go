package appserver

import "sync"

// executionShards is the number of shards, each with a lock of its own, that the request IDs are distributed over.
const executionShards = 64

// Executions counts the executions of each request ID. The zero value is ready for use. Its methods may be called from
// several goroutines.
type Executions struct {
	shards [executionShards]executionShard
}

// executionShard counts the executions of the request IDs in one shard.
type executionShard struct {
	mu     sync.Mutex
	counts map[string]int // number of executions by request ID; guarded by mu
}

// Begin counts an execution that begins now. It returns the number of executions of the request ID, including this one.
func (e *Executions) Begin(id string) int {
	shard := e.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.counts == nil {
		shard.counts = map[string]int{}
	}
	shard.counts[id]++
	return shard.counts[id]
}

// Count returns the number of executions of a request ID that have begun.
func (e *Executions) Count(id string) int {
	shard := e.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.counts[id]
}

// shard returns the shard of a request ID.
func (e *Executions) shard(id string) *executionShard {
	sum := uint(0)
	for _, b := range []byte(id) {
		sum = sum*31 + uint(b)
	}
	return &e.shards[sum%executionShards]
}
