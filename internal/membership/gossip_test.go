package membership

import (
	"testing"
	"time"
)

// parts returns the decoded parts that a queue appends to a header.
func sendParts(t *testing.T, q *gossipQueue, now time.Duration, rounds float64) []part {
	t.Helper()
	payload := q.appendTo(appendHeader(nil, header{kind: ping, sequence: 1}), now, rounds)
	m, err := decode(payload, MaxNodes, 3)
	if err != nil {
		t.Fatal(err)
	}
	return m.parts
}

// Updates about members come before events, and the least sent ones come first. Each is sent for the rounds of its kind.
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
			t.Errorf("%+v", got)
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
		t.Errorf("the member was sent %d times, the event %d times, %d are left", sentMember, sentEvent, len(q.updates))
	}
}

// A newer update replaces the older one of the same subject, and its count of sends starts at 0.
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
		t.Fatalf("%+v", q.updates)
	}
	got := sendParts(t, &q, 3*time.Second, 9)
	if len(got) != 4 || got[0].member != (memberUpdate{id: 3, state: Dead}) || got[2].event != (Event{Kind: 1, ID: 8}) ||
		got[2].age != 2*time.Second {
		t.Errorf("%+v", got)
	}
}

// A message stays within MaxMessageSize, an event older than maxEventAge is not sent, and a full queue drops the update
// that was sent most often.
func TestGossipQueueIsBounded(t *testing.T) {
	var q gossipQueue
	for i := range maxUpdates {
		q.addMember(memberUpdate{id: NodeID(i), state: Suspect, incarnation: integerLimit - 1})
	}
	if payload := q.appendTo(nil, 0, 100); len(payload) > MaxMessageSize || len(payload)+maxUpdateSize <= MaxMessageSize {
		t.Errorf("%d bytes", len(payload))
	}
	mostSent := q.updates[0].member.id
	q.addEvent(Event{Kind: 3, ID: 1})
	if len(q.updates) != maxUpdates || !q.updates[0].isEvent() {
		t.Errorf("%d updates, the first %+v in place of %d", len(q.updates), q.updates[0], mostSent)
	}
	q = gossipQueue{}
	q.addEvent(Event{Kind: 3, ID: 1})
	if got := sendParts(t, &q, maxEventAge+1, 100); len(got) > 0 {
		t.Errorf("%+v", got)
	}
	if got := sendParts(t, &q, maxEventAge, 100); len(got) != 1 || got[0].age != maxEventAge {
		t.Errorf("%+v", got)
	}
}

// The budget holds the bytes of one second. A rate of 0 means no limit.
func TestByteBudget(t *testing.T) {
	b := byteBudget{rate: 1000, available: 1000}
	count := 0
	for ; b.allows(0); count++ {
		b.spend(MaxMessageSize)
	}
	if count != 3 {
		t.Errorf("%d messages allowed at one time, want 3", count)
	}
	if b.allows(20*time.Millisecond) || !b.allows(30*time.Millisecond) {
		t.Error("the budget does not refill at its rate")
	}
	b.allows(time.Hour)
	if b.available != 1000 {
		t.Errorf("%v available after an hour", b.available)
	}
	unlimited := byteBudget{}
	for range 100 {
		unlimited.spend(MaxMessageSize)
	}
	if !unlimited.allows(0) {
		t.Error("rate 0 limits the bytes")
	}
}
