// Package membership keeps, at each node of a fleet, the list of the other nodes and whether each is considered alive,
// suspect or dead. It follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", 2002): each period a node pings a few others, has a silent one pinged indirectly,
// suspects it, and considers it dead unless it refutes the suspicion with a higher incarnation. Updates about members
// are gossiped: they ride on the pings and acks that are sent anyway. An application's events ride along with them.
//
// The package holds no I/O, no clock and no goroutine. The host passes the time with each call, hands in what it
// received (Receive), and sends what Next gives out. The same calls with the same seed give the same messages. A
// Protocol is not safe for concurrent use.
//
// docs/design-healthcheck.md has the options that were considered and where this differs from SWIM, with why.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"time"
)

// NodeID is the number of a node of the fleet, from 0. All nodes number the members alike.
type NodeID int

// noNode is the NodeID of none.
const noNode NodeID = -1

// MaxNodes bounds the size of a fleet.
const MaxNodes = 1 << 16

// Pacing of the protocol.
const (
	receiveShare       = 0.125 // of the messages that a node takes in (Config.ReceiveRate), for this protocol
	messagesPerPeriod  = 4     // that a node takes in: a ping, an ack, now and then one on another's behalf
	minPeriod          = 100 * time.Millisecond
	firstPingWithin    = 4 // the first ping is sent within this part (1/n) of a period, so that starts are spread
	lonelyPings        = 3 // pings a period until the first message came in
	indirectProbes     = 3 // members that are asked to ping a silent one
	directTimeoutShare = 0.4
	suspicionRounds    = 3    // periods a gossip round, from suspicion to death: an update goes out, its refutation back
	deadPingChance     = 0.25 // a period, that a dead member is pinged: halves that were cut off find each other again
)

// Config is what a Protocol needs to know at its start.
type Config struct {
	Self        NodeID
	Nodes       int     // members of the fleet, this node included
	Seed        uint64  // of the random draws; nodes draw differently by their number
	ReceiveRate float64 // messages a second that a node takes in, of all kinds; 0 for no known limit
	SendRate    float64 // bytes a second that this node sends at most, whatever the fleet's size; 0 for no limit
	EventKinds  uint8   // kinds of Event are 1 to EventKinds; a message with another kind is malformed
}

// Counters count what a Protocol did since it was made.
type Counters struct {
	Sent      int64 // messages
	SentBytes int64
	Withheld  int64 // messages that were not sent because of Config.SendRate
	Received  int64 // messages
	Malformed int64 // messages that could not be read, or came from no other member
	Suspected int64 // members that became suspect
	Died      int64 // members that became dead
	Rejoined  int64 // members that were dead and are alive again
	Refuted   int64 // updates that said that this node itself is suspect or dead
}

// Protocol is one node's side of the membership protocol.
type Protocol struct {
	cfg      Config
	random   *rand.Rand
	now      time.Duration
	period   time.Duration
	counters Counters

	members      []member
	version      uint64 // changes with each change of a member's state
	deadHash     uint32 // of the members considered dead, sent with each message
	receivedNone bool   // no message came in yet, so this node does not know who is dead
	gossip       gossipQueue
	budget       byteBudget
	outbox       []outgoing
	writeBuffer  []byte
	probes       []pendingPing // pings whose ack is awaited
	lastSequence uint64
	nextPingAt   time.Duration
	pingOrder    []int // members by the order in which they are pinged, shuffled anew each time round
	pingIndex    int   // into pingOrder
}

// Message is one datagram to be sent.
type Message struct {
	To   NodeID
	Text []byte // valid until the next call
}

// New returns a Protocol that considers every other member alive. now is the time since any origin; it must not decrease.
func New(cfg Config, now time.Duration) *Protocol {
	cfg.Nodes = min(max(cfg.Nodes, 1), MaxNodes)
	p := &Protocol{
		cfg:     cfg,
		now:     now,
		random:  rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		members: make([]member, cfg.Nodes),
		period:  minPeriod,
		budget:  byteBudget{rate: cfg.SendRate, available: cfg.SendRate, refilledAt: now},
	}
	if cfg.ReceiveRate > 0 {
		perMessage := time.Duration(messagesPerPeriod / (receiveShare * cfg.ReceiveRate) * float64(time.Second))
		p.period = max(p.period, perMessage)
	}
	p.nextPingAt = now + time.Duration(p.random.Int64N(int64(p.period/firstPingWithin)))
	p.receivedNone = true
	p.deadHash = p.hashDead()
	return p
}

// Advance sets the clock and returns it. The clock never runs back: an earlier time is ignored.
func (p *Protocol) Advance(now time.Duration) time.Duration {
	p.now = max(p.now, now)
	return p.now
}

// Nodes returns the size of the fleet, this node included.
func (p *Protocol) Nodes() int { return p.cfg.Nodes }

// Self returns this node's number.
func (p *Protocol) Self() NodeID { return p.cfg.Self }

// Period returns the time between two pings of this node.
func (p *Protocol) Period() time.Duration { return p.period }

// Counters returns the counts since New.
func (p *Protocol) Counters() Counters { return p.counters }

// GossipRounds returns how many rounds of gossip an update takes to reach all members if each member that has it passes it
// on to one more in each round.
func (p *Protocol) GossipRounds() float64 { return float64(bits.Len(uint(p.cfg.Nodes))) }

// Next returns the next message to send, or false when there is none for now.
func (p *Protocol) Next(now time.Duration) (Message, bool) {
	p.Advance(now)
	p.probe()
	for len(p.outbox) > 0 {
		o := p.outbox[0]
		p.outbox = p.outbox[1:]
		if text := p.encode(o); text != nil {
			return Message{To: o.to, Text: text}, true
		}
	}
	return Message{}, false
}

// WakeAt returns the time at which Next has to be called again at the latest, if nothing comes in before.
func (p *Protocol) WakeAt() time.Duration {
	at := p.nextPingAt
	for i := range p.probes {
		at = min(at, p.probes[i].dueAt())
	}
	return at
}
