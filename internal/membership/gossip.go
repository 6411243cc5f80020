package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxUpdates         = 512 // in the queue
	memberUpdateRounds = 3   // gossip rounds for which an update about a member is sent; an event is sent for one
	maxEventAge        = time.Minute
)

// Event is an application's event that is gossiped along with the updates about members: how something ended, and when. Of
// each subject (Kind and ID) only the last event is gossiped.
type Event struct {
	Kind uint8 // 1 to Config.EventKinds
	ID   uint64
	OK   bool
	At   time.Duration // by this node's clock. An event older than a minute is not sent
}

// update is one piece of gossip: about a member, or an event.
type update struct {
	member memberUpdate
	event  Event // if its Kind is not 0
	sent   int   // times
}

func (u *update) isEvent() bool { return u.event.Kind != 0 }

// sameSubject reports whether the newer of two updates replaces the older one.
func (u *update) sameSubject(other *update) bool {
	if u.event.Kind != other.event.Kind || u.event.ID != other.event.ID {
		return false
	}
	return u.isEvent() || u.member.id == other.member.id
}

// gossipQueue holds the updates that are to be sent with the next messages.
type gossipQueue struct {
	updates []update
}

func (q *gossipQueue) addMember(u memberUpdate) { q.add(update{member: u}) }

func (q *gossipQueue) addEvent(e Event) { q.add(update{event: e}) }

// add queues an update in place of an older one of its subject. If the queue is full it replaces the update that was sent
// most often, as that has spread furthest.
func (q *gossipQueue) add(u update) {
	for i := range q.updates {
		if q.updates[i].sameSubject(&u) {
			q.updates[i] = u
			return
		}
	}
	if len(q.updates) < maxUpdates {
		q.updates = append(q.updates, u)
		return
	}
	mostSent := 0
	for i := range q.updates {
		if q.updates[i].sent > q.updates[mostSent].sent {
			mostSent = i
		}
	}
	q.updates[mostSent] = u
}

// appendTo appends as many updates to a message as fit, members before events and the least sent first, and drops those
// that have been sent often enough. rounds is Protocol.GossipRounds.
func (q *gossipQueue) appendTo(text []byte, now time.Duration, rounds float64) []byte {
	slices.SortStableFunc(q.updates, func(a, b update) int {
		return cmp.Or(cmp.Compare(min(a.event.Kind, 1), min(b.event.Kind, 1)), cmp.Compare(a.sent, b.sent))
	})
	for i := range q.updates {
		if len(text)+maxUpdateSize > MaxMessageSize {
			break
		}
		u := &q.updates[i]
		u.sent++
		if !u.isEvent() {
			text = appendMemberUpdate(text, u.member)
		} else if age := now - u.event.At; age <= maxEventAge {
			text = appendEvent(text, u.event, age)
		}
	}
	q.updates = slices.DeleteFunc(q.updates, func(u update) bool {
		limit := rounds
		if !u.isEvent() {
			limit = memberUpdateRounds * rounds
		}
		return float64(u.sent) >= limit
	})
	return text
}

// byteBudget limits the bytes that are sent: a token bucket with a capacity of one second.
type byteBudget struct {
	rate       float64 // bytes a second; 0 for no limit
	available  float64 // bytes
	refilledAt time.Duration
}

// allows reports whether a message of maximum size may be sent now.
func (b *byteBudget) allows(now time.Duration) bool {
	if b.rate <= 0 {
		return true
	}
	b.available = min(b.available+b.rate*(now-b.refilledAt).Seconds(), b.rate)
	b.refilledAt = now
	return b.available >= MaxMessageSize
}

// spend notes that a message was sent.
func (b *byteBudget) spend(size int) { b.available -= float64(size) }
