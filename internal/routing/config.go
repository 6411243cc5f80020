package routing

import (
	"time"

	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

// Config is what a Router needs. SetTimer, PollEndpoints, SendToPeer and LogSummary must be set.
type Config struct {
	// Seed is that of the engine's random draws.
	Seed uint64

	// Settings are the node's settings; nil where none are given. They must not change after New.
	Settings *settings.Settings

	// Shadow are other settings, of the same classes and plans in the same order, for a shadow evaluation; nil for none.
	// They decide nothing: see Router.ShadowCounts.
	Shadow *settings.Settings

	// Clock returns the time; nil for the system's. It must never go back. The laboratory's fleet model passes a virtual
	// clock, so that the same engine runs at sizes and speeds that sockets don't reach.
	Clock func() time.Time

	// Quota, when set, leases tenants' quotas from those of the whole fleet, and the engine admits by what it allows;
	// nil for the engine's own token buckets. It is called under the Router's lock, and must neither block nor call the
	// Router.
	Quota Quota

	// OnDecision, when set, is called with each request whose next step is decided. It is called under the Router's lock
	// and must only note the request, so that TryNext is called on it once the call that led to the decision has
	// returned. Nil where each request waits in Next.
	OnDecision func(*Request)

	// OnRepeatFault, when set, is called with each attempt that the engine decided on and that is held back, as it would
	// break the promise on repeats. It is called under the Router's lock, and must neither block nor call the Router.
	OnRepeatFault func(fault RepeatFault, class, attempt int)

	// SetTimer sets the one timer, which is to call Router.Tick; an earlier setting of it is void. It is called under the
	// Router's lock, and must neither block nor call the Router.
	SetTimer func(after time.Duration)

	// PollEndpoints asks the discovery client to make its next call. It is called under the Router's lock, and must
	// neither block nor call the Router: were it delivered as messages are, a message that can't be sent would keep the
	// node from its endpoint list.
	PollEndpoints func()

	// SendToPeer sends a message to the node with that number, or to all others where it is below 0. It is called without
	// the lock, by one goroutine at a time and in the order of the messages, and may block.
	SendToPeer func(peer int, payload []byte)

	// LogSummary logs the summary of an interval, a line of text. It is called as SendToPeer is.
	LogSummary func(summary []byte)
}

// Quota allows this node a part of its tenants' quotas. Units are those of the plans.
type Quota interface {
	// RecordDemand notes that a request came, whether it will be admitted or not.
	RecordDemand(c quota.Customer, units float64)
	// Available returns how many units may be admitted now.
	Available(c quota.Customer) float64
	// RecordUse notes that a request was admitted.
	RecordUse(c quota.Customer, units float64)
}
