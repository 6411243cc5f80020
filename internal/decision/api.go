package decision

// Time is an instant on the host's clock, or a duration, in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// ServerID identifies an app server. It is the same at all nodes.
type ServerID uint32

// RequestID identifies a request at one node. The host assigns it.
type RequestID uint32

// CustomerID identifies a customer. It is the same at all nodes.
type CustomerID uint64

// NodeID is the number of a node, from 0.
type NodeID int

// ClassID is the index of a request class in the settings.
type ClassID int

// PlanID is the index of a quota plan in the settings.
type PlanID int

// Outcome is the result of an attempt or a health check.
type Outcome uint8

// The outcomes. Overloaded, ConnectFailed and NotSent prove that the server did not execute the request.
const (
	Succeeded         Outcome = iota
	Failed                    // the server responded with an error
	Overloaded                // the server rejected the request without executing it
	TimedOut                  // no response arrived within the attempt's timeout
	ConnectFailed             // no connection was established
	ConnectionReset           // the connection broke before the response was complete
	Cancelled                 // this node cancelled the attempt
	NotSent                   // the attempt was never sent
	MalformedResponse         // the response could not be parsed
)

// EndpointListKind describes the content of an update of the endpoint list.
type EndpointListKind uint8

// The kinds of endpoint list.
const (
	FullList   EndpointListKind = iota // list of all servers
	CachedList                         // list of all servers from an earlier time
	PollFailed                         // no list, because a poll failed
	ListUpdate                         // only the entries that changed
)

// EndpointState is the state of an app server in the endpoint list.
type EndpointState uint8

// The states of an app server.
const (
	Draining EndpointState = iota // the server takes no new attempts
	Ready                         // the server takes attempts
	Gone                          // the server has been removed from the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server  ServerID
	Zone    uint8
	Model   uint16 // model of the server; the engine ignores it
	Cell    uint16 // group of servers within which idempotency keys may be shared
	State   EndpointState
	Weight  float64 // size relative to other servers; 0 or less means unknown
	Started Time    // time of the last start by the servers' clock; 0 means long ago
}

// Request is a new request of a client.
type Request struct {
	ID        RequestID
	Class     ClassID
	Plan      PlanID
	Customer  CustomerID
	Timeout   Time    // time until the client's deadline
	Units     float64 // expected use of the customer's quota
	Spread    int     // number of nodes in the customer's set, which receive its requests
	FirstNode NodeID  // first node of the set; the others follow it
}

// AttemptResult describes the end of an attempt.
type AttemptResult struct {
	Request  RequestID
	Attempt  int // number of the attempt within its request, from 0
	Server   ServerID
	Outcome  Outcome
	Duration Time
	Final    bool      // the client has received its final response
	Units    float64   // units that the request used, set in its first success; 0 leaves the expected units charged
	Load     []float64 // load report of the server; the engine ignores it
}

// Action is the host's task in a Decision.
type Action uint8

// The actions.
const (
	noAction        Action = iota // no task; Next never returns it
	Forward                       // send an attempt to a server
	Reject                        // respond that the client may repeat the request
	Fail                          // respond that the request failed
	CancelAttempt                 // cancel an attempt that is in flight
	SetTimer                      // call TimerFired after a duration
	HealthCheck                   // check a server's health; the engine never returns it
	SendPeerMessage               // send a message to one peer or to all
	PollEndpoints                 // poll discovery
	LogSummary                    // log the summary of an interval
)

// Decision is a task for the host. Only the fields that the action needs are set.
type Decision struct {
	Action   Action
	Request  RequestID
	Attempt  int      // number of the attempt to cancel, in CancelAttempt
	Server   ServerID // target server, in Forward and HealthCheck
	Duration Time     // attempt timeout in Forward, Retry-After in Reject, delay in SetTimer
	Payload  []byte   // content of SendPeerMessage and LogSummary, valid until the next call of Next
	Peer     NodeID   // receiver of SendPeerMessage, or AllPeers
	Reason   Reason   // cause of Reject and Fail
}

// AllPeers as the Peer of a Decision stands for every other node.
const AllPeers NodeID = -1
