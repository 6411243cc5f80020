package decision

// Time is in whole tenths of a millisecond. Instants are on the host's clock.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// Outcome is how an execution, or a probe, ended.
type Outcome uint8

// The outcomes. Full, Unreached and Moot prove that the execution never ran.
const (
	Succeeded         Outcome = iota
	Failed                    // the app server answered with an error
	Overloaded                // turned away without being looked at
	TimedOut                  // no answer within the time allowed
	ConnectFailed             // no connection
	ConnectionReset           // the connection broke
	Cancelled                 // called back by this node
	NotSent                   // never sent
	MalformedResponse         // an answer came that can't be read
)

// EndpointListKind is what a message of the server roster holds.
type EndpointListKind uint8

// The kinds of roster message.
const (
	FullList   EndpointListKind = iota // the whole list
	CachedList                         // the whole list as it was last seen, perhaps old
	PollFailed                         // a call failed; nothing changes
	ListUpdate                         // changed entries only
)

// EndpointState is what the roster says of an app server.
type EndpointState uint8

// The states of an app server.
const (
	Draining EndpointState = iota
	Ready
	Gone
)

// Endpoint is one entry of the roster.
type Endpoint struct {
	Server  uint32
	Zone    uint8
	Kind    uint16
	Cell    uint16
	State   EndpointState
	Weight  float64
	Started Time // latest start; 0 is long past
}

// Request is a ticket as it comes in.
type Request struct {
	ID        uint32
	Class     int
	Plan      int
	Customer  uint64
	Timeout   Time // until the client gives up
	Units     float64
	Spread    int // how many nodes take in this customer
	FirstNode int // the number of the first of them
}

// AttemptResult is how an execution ended.
type AttemptResult struct {
	Request  uint32
	Attempt  int // number of the execution of its ticket, from 0
	Server   uint32
	Outcome  Outcome
	Duration Time
	Final    bool    // the ticket has its final answer
	Units    float64 // the true units, once, with the first OK of plans settled afterwards
	Load     []float64
}

// Action is what a Decision asks of the host.
type Action uint8

// The verbs.
const (
	Forward Action = iota + 1
	Reject
	Fail
	CancelAttempt
	SetTimer
	HealthCheck
	SendPeerMessage
	PollEndpoints
	LogSummary
)

// Decision is one answer of Next. Only the fields that its verb needs are set.
type Decision struct {
	Action   Action
	Request  uint32
	Attempt  int    // Withdraw
	Server   uint32 // Send, Probe
	Duration Time   // Send: time-out; Bounce: retry advice; Wake: from now
	Payload  []byte // Tell, Note; good until the next call
	Peer     int    // Tell: to that node alone, or to all (Everyone)
}

// AllPeers as a Peer is every other node.
const AllPeers = -1
