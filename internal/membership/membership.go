// Package membership detects failed nodes of a fleet. Each node keeps one state per other node: alive, suspect or dead.
//
// The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", DSN 2002). In each period a node pings one member. If the member does not ack, other members ping it on the
// node's behalf. If none of them gets an ack, the member becomes suspect. A suspect that does not refute the suspicion with
// a higher incarnation becomes dead. Updates about members are gossiped: pings and acks carry them. Events of the
// application are gossiped in the same way.
//
// The package holds no I/O, no clock and no goroutine. The host passes the current time to each call. The host also passes
// received datagrams to Receive, and sends the messages that Next returns. The same calls with the same seed yield the same
// messages. A Protocol is not safe for concurrent use.
//
// docs/design-healthcheck.md lists the alternatives and the differences from SWIM.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"cherrygap/internal/numeric"
)

// NodeID is the number of a node of the fleet, counted from 0. All nodes use the same numbering.
type NodeID int

// noNode stands for the absence of a node.
const noNode NodeID = -1

// MaxNodes is the maximum size of a fleet. New lowers Config.Nodes to it.
const MaxNodes = 1 << 16

const (
	// minPeriod is the shortest time between two pings of a node.
	minPeriod = 100 * time.Millisecond
	// receiveRateShare is the share of Config.ReceiveRate that this protocol may use, as a ratio.
	receiveRateShare = 0.125
	// messagesPerPeriod is the mean number of messages that a node receives in a period: a ping, an ack and indirect pings.
	messagesPerPeriod = 4
	// firstPingDivisor divides the period to give the bound on the delay of a node's first ping.
	firstPingDivisor = 4
)

// Config configures a Protocol.
type Config struct {
	Self        NodeID  // number of this node
	Nodes       int     // size of the fleet, including this node; clamped to the range from 1 to MaxNodes
	Seed        uint64  // seed of the random draws; combined with Self
	ReceiveRate float64 // messages of all kinds that a node can receive, per second; 0 or less for no known limit
	SendRate    float64 // bytes that this node may send, per second; 0 or less for no limit
	EventKinds  uint8   // largest valid value of Event.Kind; the smallest is 1
}

// Counters count events since New.
type Counters struct {
	Sent      int64 // messages sent
	SentBytes int64 // bytes sent
	Withheld  int64 // messages dropped because of Config.SendRate
	Received  int64 // valid messages received
	Malformed int64 // messages that could not be decoded or did not come from another member
	Suspected int64 // members that became suspect
	Died      int64 // members that became dead
	Rejoined  int64 // members that were dead and became alive or suspect
	Refuted   int64 // updates that called this node suspect or dead and were refuted
}

// Protocol is the membership protocol at one node. It is not safe for concurrent use.
type Protocol struct {
	cfg      Config // configuration, with Nodes clamped
	random   *rand.Rand
	now      time.Duration // latest time of a call
	period   time.Duration // time between two pings of this node
	counters Counters

	members              []member // records by NodeID; that of this node holds its own incarnation
	version              uint64   // number that increases with each change of a member's state
	deadHash             uint32   // hash of the set of dead members; each message carries it
	awaitingFirstMessage bool     // whether no valid message has been received yet
	gossip               gossipQueue
	budget               byteBudget
	outbox               []outgoing    // messages that Next has not returned yet
	writeBuffer          []byte        // payload of the last message; reused by the next one
	probes               []probe       // pings without an ack
	lastSequence         uint64        // sequence of the last ping; 0 before the first
	nextPingAt           time.Duration // time at which the pings of the next period are due
	pingOrder            []int         // members in the order in which they are pinged; shuffled for each pass
	pingIndex            int           // index into pingOrder of the next member
}

// Message is a datagram to be sent.
type Message struct {
	To      NodeID // receiver
	Payload []byte // bytes of the datagram; valid until the next call of any method
}

// New returns a Protocol that considers every other member alive. now is the time since any origin. All later times use the
// same origin.
func New(cfg Config, now time.Duration) *Protocol {
	cfg.Nodes = min(max(cfg.Nodes, 1), MaxNodes)
	p := &Protocol{
		cfg:                  cfg,
		now:                  now,
		random:               rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		members:              make([]member, cfg.Nodes),
		period:               pingPeriod(cfg.ReceiveRate),
		budget:               byteBudget{rate: cfg.SendRate, available: cfg.SendRate, refilledAt: now},
		awaitingFirstMessage: true,
	}
	p.nextPingAt = now + time.Duration(p.random.Int64N(int64(p.period/firstPingDivisor)))
	p.deadHash = p.hashDead()
	return p
}

// pingPeriod returns the time between two pings at which the protocol uses its share of receiveRate, at least minPeriod.
func pingPeriod(receiveRate float64) time.Duration {
	if receiveRate <= 0 {
		return minPeriod
	}
	seconds := messagesPerPeriod / (receiveRateShare * receiveRate)
	return max(minPeriod, numeric.Truncate[time.Duration](seconds*float64(time.Second)))
}

// Advance sets the clock to now and returns the clock. A time before the clock is ignored, so the clock never goes back.
func (p *Protocol) Advance(now time.Duration) time.Duration {
	p.now = max(p.now, now)
	return p.now
}

// Nodes returns the size of the fleet, including this node.
func (p *Protocol) Nodes() int { return p.cfg.Nodes }

// Self returns this node's number.
func (p *Protocol) Self() NodeID { return p.cfg.Self }

// Period returns the time between two pings of this node.
func (p *Protocol) Period() time.Duration { return p.period }

// Counters returns the counts since New.
func (p *Protocol) Counters() Counters { return p.counters }

// GossipRounds returns the number of rounds in which an update reaches all members if each informed member informs one other
// member per round. That number is the bit length of the fleet's size.
func (p *Protocol) GossipRounds() float64 { return float64(bits.Len(uint(p.cfg.Nodes))) }

// Next returns the next message to send, or false if no message is due at the time now.
func (p *Protocol) Next(now time.Duration) (Message, bool) {
	p.Advance(now)
	p.runProbes()
	for len(p.outbox) > 0 {
		next := p.outbox[0]
		p.outbox = p.outbox[1:]
		if payload := p.encode(next); payload != nil {
			return Message{To: next.to, Payload: payload}, true
		}
	}
	return Message{}, false
}

// WakeAt returns the time by which Next must be called again, unless a message is received before.
func (p *Protocol) WakeAt() time.Duration {
	at := p.nextPingAt
	for i := range p.probes {
		at = min(at, p.probes[i].dueAt())
	}
	return at
}
