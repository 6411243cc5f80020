package appserver

import "sync"

// executionShards is the number of locks that the request IDs are spread over.
const executionShards = 64

// Executions counts how often each request ID was executed. The zero value is ready for use; its methods may be called
// from several goroutines.
type Executions struct {
	shards [executionShards]executionShard
}

type executionShard struct {
	mu    sync.Mutex     // guards begun
	begun map[string]int // executions, by request ID
}

// Begin counts an execution of a request that begins now, and returns the number of its executions so far.
func (e *Executions) Begin(id string) int {
	shard := e.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.begun == nil {
		shard.begun = map[string]int{}
	}
	shard.begun[id]++
	return shard.begun[id]
}

// Times returns how often the execution of a request has begun.
func (e *Executions) Times(id string) int {
	shard := e.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.begun[id]
}

func (e *Executions) shard(id string) *executionShard {
	sum := uint(0)
	for _, b := range []byte(id) {
		sum = sum*31 + uint(b)
	}
	return &e.shards[sum%executionShards]
}
