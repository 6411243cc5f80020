package simproto

// EventCode says what a record of a batch holds.
type EventCode uint8

// The events that the simulator sends.
const (
	EventRequest EventCode = 1  // a client's request has arrived
	EventFleet   EventCode = 2  // discovery's endpoint list, or a change of it
	EventPeer    EventCode = 3  // another instance's message
	EventLapsed  EventCode = 4  // the client has gone, or its answer is overdue
	EventTallied EventCode = 5  // the result of an ActionPostAmount
	EventStarted EventCode = 6  // a streamed answer has begun
	EventEnded   EventCode = 7  // an attempt has ended
	EventKill    EventCode = 8  // the instance was terminated
	EventEcho    EventCode = 9  // the result of a health check
	EventElapsed EventCode = 10 // a timer has gone off
	EventBegin   EventCode = 11 // an instance starts, with its settings
)

// ActionCode says what a record of a reply holds. Its numbers are independent of those of EventCode.
type ActionCode uint8

// The actions that a reply carries.
const (
	ActionRefuse        ActionCode = 1  // final answer: rejected
	ActionRecall        ActionCode = 2  // cancel an attempt
	ActionWritePeer     ActionCode = 3  // send a message to one instance, or to all
	ActionNoteDown      ActionCode = 4  // a log line
	ActionReload        ActionCode = 5  // ask discovery once for the full list
	ActionStreamChanges ActionCode = 6  // subscribe to discovery's changes
	ActionRelease       ActionCode = 7  // close idle connections
	ActionFault         ActionCode = 8  // the decision code broke
	ActionSurrender     ActionCode = 9  // final answer: failed
	ActionPassOn        ActionCode = 10 // forward a request: one attempt
	ActionPostAmount    ActionCode = 11 // add to a shared count
	ActionSample        ActionCode = 12 // check an app server's health
	ActionWakeAt        ActionCode = 13 // set a timer
)

// OutcomeCode says how an attempt or a health check ended.
type OutcomeCode uint16

// The outcomes. The ones marked so prove that the attempt never ran.
const (
	OutcomeOK            OutcomeCode = 0
	OutcomeNotSent       OutcomeCode = 249 // never ran
	OutcomeCancelled     OutcomeCode = 250
	OutcomeReset         OutcomeCode = 251
	OutcomeConnectFailed OutcomeCode = 252 // never ran
	OutcomeTimedOut      OutcomeCode = 253
	OutcomeFull          OutcomeCode = 254 // never ran
	OutcomeError         OutcomeCode = 255
)

// ListKind says what an EventFleet holds.
type ListKind uint8

// The kinds of endpoint list.
const (
	ListFull   ListKind = 0
	ListCached ListKind = 1 // the full list as last seen, perhaps stale
	ListFailed ListKind = 2 // a call failed: no entries
	ListDelta  ListKind = 3 // changed entries only
)

// EndpointState is the state of an entry of an endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointDraining EndpointState = 0
	EndpointReady    EndpointState = 1
	EndpointGone     EndpointState = 3
)

// AllPeers as the destination of an ActionWritePeer is every other instance.
const AllPeers uint32 = 1<<32 - 1
