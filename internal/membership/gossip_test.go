package membership

import (
	"testing"
	"time"
)

// sendParts makes a queue fill up one message, and returns the decoded parts of the message.
func sendParts(t *testing.T, q *gossipQueue, now time.Duration, rounds float64) []part {
	t.Helper()
	payload := q.appendTo(appendHeader(nil, header{kind: ping, sequence: 1}), now, rounds)
	m, err := decode(payload, MaxNodes, 3)
	if err != nil {
		t.Fatal("decoding the queue's message:", err)
	}
	return m.parts
}

// TestGossipOrderAndLimits guards against gossip that delays updates about members, or never ends. Updates about members
// come before events, and the least sent ones come first. Each update is sent for the rounds of its kind.
func TestGossipOrderAndLimits(t *testing.T) {
	var q gossipQueue
	q.addEvent(Event{Kind: 2, ID: 8})
	q.addMember(memberUpdate{id: 3, state: Suspect})
	sentMember, sentEvent := 0, 0
	for round := range 12 {
		if round == 1 {
			q.addMember(memberUpdate{id: 5, state: Alive, incarnation: 1})
		}
		got := sendParts(t, &q, 0, 3)
		if round == 1 && (len(got) != 3 || got[0].member.id != 5 || got[1].member.id != 3 || got[2].kind != eventPart) {
			t.Errorf("message of round 1 has the parts %+v, want member 5, member 3, then the event", got)
		}
		for _, p := range got {
			if p.kind == eventPart {
				sentEvent++
			} else if p.member.id == 3 {
				sentMember++
			}
		}
	}
	if sentMember != memberUpdateRounds*3 || sentEvent != 3 || len(q.updates) > 0 {
		t.Errorf("member 3 was sent %d times, the event %d times, and %d updates are left; want %d, 3 and 0",
			sentMember, sentEvent, len(q.updates), memberUpdateRounds*3)
	}
}

// TestNewerUpdateReplacesOlderOne guards against gossip of outdated updates. A newer update replaces the older one of the
// same subject, and its count of sends starts at 0.
func TestNewerUpdateReplacesOlderOne(t *testing.T) {
	var q gossipQueue
	q.addEvent(Event{Kind: 1, ID: 8, OK: true})
	q.addEvent(Event{Kind: 2, ID: 8})
	q.addMember(memberUpdate{id: 3, state: Suspect})
	q.addMember(memberUpdate{id: 4, state: Suspect})
	sendParts(t, &q, 0, 9)
	q.addEvent(Event{Kind: 1, ID: 8, OK: false, At: time.Second})
	q.addMember(memberUpdate{id: 3, state: Dead})
	if len(q.updates) != 4 {
		t.Fatalf("queue holds the updates %+v, want 4", q.updates)
	}
	got := sendParts(t, &q, 3*time.Second, 9)
	if len(got) != 4 || got[0].member != (memberUpdate{id: 3, state: Dead}) || got[2].event != (Event{Kind: 1, ID: 8}) ||
		got[2].age != 2*time.Second {
		t.Errorf("message has the parts %+v, want 4: first member 3 in state %d (Dead), third event 8 of kind 1, not OK, 2s old", got, Dead)
	}
}

// TestGossipQueueIsBounded guards against unbounded messages and queues. A message stays within MaxMessageSize, and an event
// older than maxEventAge is not sent. A full queue drops the update that was sent most often.
func TestGossipQueueIsBounded(t *testing.T) {
	var q gossipQueue
	for i := range maxUpdates {
		q.addMember(memberUpdate{id: NodeID(i), state: Suspect, incarnation: integerLimit - 1})
	}
	if payload := q.appendTo(nil, 0, 100); len(payload) > MaxMessageSize || len(payload)+maxUpdateSize <= MaxMessageSize {
		t.Errorf("full queue made a message of %d bytes, want %d to %d", len(payload), MaxMessageSize-maxUpdateSize+1, MaxMessageSize)
	}
	mostSent := q.updates[0].member.id
	q.addEvent(Event{Kind: 3, ID: 1})
	if len(q.updates) != maxUpdates || !q.updates[0].isEvent() {
		t.Errorf("full queue after another event: %d updates, first %+v; want %d, and the event in place of member %d",
			len(q.updates), q.updates[0], maxUpdates, mostSent)
	}
	q = gossipQueue{}
	q.addEvent(Event{Kind: 3, ID: 1})
	if got := sendParts(t, &q, maxEventAge+1, 100); len(got) > 0 {
		t.Errorf("message has the parts %+v, want none because the event is too old", got)
	}
	if got := sendParts(t, &q, maxEventAge, 100); len(got) != 1 || got[0].age != maxEventAge {
		t.Errorf("message has the parts %+v, want one event of age %v", got, maxEventAge)
	}
}

// TestByteBudget guards against more bytes than the limit. The budget holds the bytes of one second. A rate of 0 means no
// limit.
func TestByteBudget(t *testing.T) {
	b := byteBudget{rate: 1000, available: 1000}
	count := 0
	for ; b.allows(0); count++ {
		b.spend(MaxMessageSize)
	}
	if count != 3 {
		t.Errorf("budget of 1000 bytes allowed %d messages at one time, want 3", count)
	}
	if early := b.allows(20 * time.Millisecond); early || !b.allows(30*time.Millisecond) {
		t.Errorf("budget of 1000 bytes per second allowed a message after 20ms = %v (if false, it allowed none after 30ms); want false, then true", early)
	}
	b.allows(time.Hour)
	if b.available != 1000 {
		t.Errorf("budget after an hour = %v bytes, want 1000", b.available)
	}
	unlimited := byteBudget{}
	for range 100 {
		unlimited.spend(MaxMessageSize)
	}
	if !unlimited.allows(0) {
		t.Error("budget with rate 0 refused a message, want no limit")
	}
}
