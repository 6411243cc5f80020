package membership

// Gossip queue.
//
// Inputs: updates about members, and events of the application. State: one queue with the last update of each subject and
// the number of messages that carried the update. Rule: every message is filled up with updates, members before events, the
// least sent first. An update leaves the queue after memberUpdateRounds or eventRounds gossip rounds. Purpose: an update
// survives the loss of datagrams, because several messages carry each update. Trade-off: an update can miss a member.
// Therefore nodes also compare their sets of dead members (compareDead).

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUpdates is the capacity of the queue, in updates.
	maxUpdates = 512
	// memberUpdateRounds is the number of gossip rounds for which an update about a member is sent.
	memberUpdateRounds = 3
	// eventRounds is the number of gossip rounds for which an event is sent.
	eventRounds = 1
	// maxEventAge is the largest age of a gossiped event. Older events are not sent, and are malformed in a received
	// message.
	maxEventAge = time.Minute
)

// Event is an event of the application: the result of an operation, and its time. Kind and ID are its subject. Only the last
// event of each subject is gossiped.
type Event struct {
	Kind uint8         // kind of the operation, from 1 to Config.EventKinds
	ID   uint64        // id of the operation, unique within its kind
	OK   bool          // whether the operation succeeded
	At   time.Duration // time of the event by this node's clock; encoded as an age on the wire
}

// update is an entry of the gossip queue. Either member or event is set.
type update struct {
	member    memberUpdate // update about a member; ignored if event is set
	event     Event        // event of the application; Kind is 0 if the update is about a member
	sendCount int          // number of messages that carried the update
}

// isEvent reports whether the update is an event of the application.
func (u *update) isEvent() bool { return u.event.Kind != 0 }

// maxSends returns the number of messages that may carry the update. rounds is the result of Protocol.GossipRounds.
func (u *update) maxSends(rounds float64) float64 {
	if u.isEvent() {
		return eventRounds * rounds
	}
	return memberUpdateRounds * rounds
}

// sameSubject reports whether both updates are about the same member or the same operation.
func (u *update) sameSubject(other *update) bool {
	if u.event.Kind != other.event.Kind || u.event.ID != other.event.ID {
		return false
	}
	return u.isEvent() || u.member.id == other.member.id
}

// gossipQueue holds the updates for the next messages. The zero value is empty.
type gossipQueue struct {
	updates []update // at most maxUpdates updates, one per subject
}

// addMember queues an update about a member.
func (q *gossipQueue) addMember(u memberUpdate) { q.add(update{member: u}) }

// addEvent queues an event.
func (q *gossipQueue) addEvent(e Event) { q.add(update{event: e}) }

// add queues an update. A queued update of the same subject is replaced. Otherwise a full queue drops the update that was
// sent most often, because most members have received that one.
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
	mostSentIndex := 0
	for i := range q.updates {
		if q.updates[i].sendCount > q.updates[mostSentIndex].sendCount {
			mostSentIndex = i
		}
	}
	q.updates[mostSentIndex] = u
}

// appendTo appends updates to a message until the message is full, and returns the message. Updates that have been sent
// maxSends times are removed from the queue. rounds is the result of Protocol.GossipRounds.
func (q *gossipQueue) appendTo(payload []byte, now time.Duration, rounds float64) []byte {
	q.sort()
	for i := range q.updates {
		if len(payload)+maxUpdateSize > MaxMessageSize {
			break
		}
		u := &q.updates[i]
		u.sendCount++
		if !u.isEvent() {
			payload = appendMemberUpdate(payload, u.member)
		} else if age := now - u.event.At; age <= maxEventAge {
			payload = appendEvent(payload, u.event, age)
		}
	}
	q.updates = slices.DeleteFunc(q.updates, func(u update) bool { return float64(u.sendCount) >= u.maxSends(rounds) })
	return payload
}

// sort orders the queue: members before events, then the least sent first, then in the order of arrival.
func (q *gossipQueue) sort() {
	slices.SortStableFunc(q.updates, func(a, b update) int {
		return cmp.Or(cmp.Compare(min(a.event.Kind, 1), min(b.event.Kind, 1)), cmp.Compare(a.sendCount, b.sendCount))
	})
}

// byteBudget limits the bytes that a node sends, with a token bucket. Its capacity is the bytes of one second.
type byteBudget struct {
	rate       float64       // bytes per second; 0 or less for no limit
	available  float64       // bytes that may be sent now; negative if more were sent
	refilledAt time.Duration // time of the last refill
}

// allows refills the budget and reports whether a message of MaxMessageSize may be sent.
func (b *byteBudget) allows(now time.Duration) bool {
	if b.rate <= 0 {
		return true
	}
	b.available = min(b.available+b.rate*(now-b.refilledAt).Seconds(), b.rate)
	b.refilledAt = now
	return b.available >= MaxMessageSize
}

// spend records that a message of size bytes was sent.
func (b *byteBudget) spend(size int) { b.available -= float64(size) }
