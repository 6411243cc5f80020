package decision

// Time is an instant on the host's clock, or a duration, in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// ServerID is an app server's number, the same at all nodes.
type ServerID uint32

// RequestID is a request's number, as its host gave it.
type RequestID uint32

// CustomerID is a customer's key, the same at all nodes.
type CustomerID uint64

// NodeID is a node's number, from 0; AllPeers is none of them.
type NodeID int

// ClassID is the index of a request class in the settings.
type ClassID int

// PlanID is the index of a quota plan in the settings.
type PlanID int

// Outcome is how an attempt, or a health check, ended.
type Outcome uint8

// The outcomes. Overloaded, ConnectFailed and NotSent prove that the attempt never ran.
const (
	Succeeded         Outcome = iota
	Failed                    // the app server answered with an error
	Overloaded                // rejected by the app server without being looked at
	TimedOut                  // no answer within the time allowed
	ConnectFailed             // no connection
	ConnectionReset           // the connection broke
	Cancelled                 // cancelled by this node
	NotSent                   // never sent
	MalformedResponse         // an answer came that can't be read
)

// EndpointListKind is what a message of discovery holds.
type EndpointListKind uint8

// The kinds of endpoint list.
const (
	FullList   EndpointListKind = iota // the complete list
	CachedList                         // the complete list as it was last seen, perhaps old
	PollFailed                         // a call failed; nothing changes
	ListUpdate                         // changed entries only
)

// EndpointState is what discovery says of an app server.
type EndpointState uint8

// The states of an app server.
const (
	Draining EndpointState = iota
	Ready
	Gone
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server  ServerID
	Zone    uint8
	Kind    uint16
	Cell    uint16
	State   EndpointState
	Weight  float64 // size, relative to other servers; 0 or less: not known
	Started Time    // latest start; 0 is long past
}

// Request is a request as it comes in.
type Request struct {
	ID        RequestID
	Class     ClassID
	Plan      PlanID
	Customer  CustomerID
	Timeout   Time    // until the client gives up
	Units     float64 // of the customer's quota, as expected
	Spread    int     // how many nodes take in this customer's requests
	FirstNode NodeID  // the first of them
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Request  RequestID
	Attempt  int // number of the attempt of its request, from 0
	Server   ServerID
	Outcome  Outcome
	Duration Time
	Final    bool      // the request has its final answer
	Units    float64   // the true units, once, with the first success of plans settled afterwards
	Load     []float64 // the server's load report; no decision uses it
}

// Action is what a Decision asks of the host.
type Action uint8

// The actions.
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

// Decision is one answer of Next. Only the fields that its action needs are set.
type Decision struct {
	Action   Action
	Request  RequestID
	Attempt  int      // CancelAttempt
	Server   ServerID // Forward, HealthCheck
	Duration Time     // Forward: time-out; Reject: Retry-After; SetTimer: from now
	Payload  []byte   // SendPeerMessage, LogSummary; valid until the next call
	Peer     NodeID   // SendPeerMessage: to that node alone, or to AllPeers
	Reason   Reason   // Reject, Fail
}

// AllPeers as a Peer is every other node.
const AllPeers NodeID = -1
