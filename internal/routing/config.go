package routing

import (
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
)

// ClassID is the number of a request class, by its place in the settings.
type ClassID = decision.ClassID

// CustomerMemory is the approximate memory of one customer's state, in bytes.
const CustomerMemory = decision.CustomerMemory

// Config configures a Router. The functions SetTimer, PollEndpoints, SendToPeer and LogSummary are required.
//
// The Router calls SetTimer, PollEndpoints, OnDecision, OnRepeatViolation and Quota under its lock. They must not
// block, and must not call the Router.
type Config struct {
	// Seed is the seed of the engine's random numbers.
	Seed uint64

	// Settings are the node's settings; nil stands for empty settings. They must not change after New.
	Settings *settings.Settings

	// Shadow are the settings of a shadow evaluation; nil for none. Their classes and plans must be those of Settings, in the
	// same order. Shadow has no effect on requests: see Router.ShadowCounts.
	Shadow *settings.Settings

	// MaxCustomers is the largest number of customers whose state the engine keeps, besides those in use; 0 for no limit.
	MaxCustomers int

	// Clock returns the time, which must never go back; nil for the system's clock. Simulations pass a virtual clock.
	Clock func() time.Time

	// Quota leases the tenants' quotas, and the engine admits requests by the leases. If Quota is nil, the engine
	// admits by its own token buckets.
	Quota Quota

	// OnDecision is called when the next step of a request is decided, unless an earlier decision on the request has not been
	// taken yet. The caller that caused the decision must call TryNext once its own call of the Router has returned.
	// OnDecision may be nil if all callers wait in Next.
	OnDecision func(*Request)

	// OnRepeatViolation is called for each attempt or rejection that the repeat check forbids; nil to ignore them.
	OnRepeatViolation func(violation RepeatViolation, class ClassID, attempt int)

	// SetTimer sets the Router's only timer, replacing an earlier setting. The timer must call Router.TimerFired.
	SetTimer func(after time.Duration)

	// PollEndpoints requests a poll from the discovery client. The request does not pass through the outbox: a peer message
	// that blocks must not delay the endpoint list.
	PollEndpoints func()

	// SendToPeer sends a message to the node with the number peer, or to all other nodes if peer is negative. The Router
	// calls it without the lock, in the order of the messages and from one goroutine at a time. It may block.
	SendToPeer func(peer int, payload []byte)

	// LogSummary logs an interval summary, a line of text. The Router calls it under the same conditions as SendToPeer.
	LogSummary func(summary []byte)
}

// Quota leases parts of the tenants' fleet-wide quotas to this node, in the plans' units.
type Quota interface {
	// RecordDemand records the units of a new request, admitted or not.
	RecordDemand(c quota.Customer, units float64)
	// Available returns the units that the node may admit now.
	Available(c quota.Customer) float64
	// RecordUse records the units of an admitted request.
	RecordUse(c quota.Customer, units float64)
}
