package simproto

// Codes of the protocol. A name in quotes is the name in the simulator's protocol documentation.

// EventCode is the code of an event record.
type EventCode uint8

const (
	// EventRequest is a client's request.
	EventRequest EventCode = 1
	// EventEndpointList ("fleet") is discovery's endpoint list, or a watch event with the changed endpoints.
	EventEndpointList EventCode = 2
	// EventPeerMessage ("peer") is a message from another instance.
	EventPeerMessage EventCode = 3
	// EventClientGone ("lapsed") reports that a client disconnected or that its deadline has passed.
	EventClientGone EventCode = 4
	// EventCountAdded ("tallied") is the result of an ActionAddToCount.
	EventCountAdded EventCode = 5
	// EventResponseStarted ("started") is the beginning of a streamed response.
	EventResponseStarted EventCode = 6
	// EventAttemptEnded ("ended") is the end of an attempt.
	EventAttemptEnded EventCode = 7
	// EventInstanceKilled ("kill") is the termination of an instance.
	EventInstanceKilled EventCode = 8
	// EventHealthChecked ("echo") is the result of an ActionCheckHealth.
	EventHealthChecked EventCode = 9
	// EventTimerFired ("elapsed") is the expiry of a timer.
	EventTimerFired EventCode = 10
	// EventInstanceStarted ("begin") is the start of an instance, with its settings.
	EventInstanceStarted EventCode = 11
)

// ActionCode is the code of an action record. Actions and events are numbered independently.
type ActionCode uint8

const (
	// ActionReject ("refuse") responds to a request with a rejection. It is the final response.
	ActionReject ActionCode = 1
	// ActionCancelAttempt ("recall") cancels an attempt.
	ActionCancelAttempt ActionCode = 2
	// ActionSendPeerMessage ("write_peer") sends a message to one instance, or to all others (AllPeers).
	ActionSendPeerMessage ActionCode = 3
	// ActionLog ("note_down") writes a log line.
	ActionLog ActionCode = 4
	// ActionFetchEndpoints ("reload") fetches the full endpoint list from discovery once.
	ActionFetchEndpoints ActionCode = 5
	// ActionWatchEndpoints ("stream_changes") starts or stops the watch of discovery.
	ActionWatchEndpoints ActionCode = 6
	// ActionCloseIdle ("release") closes idle connections.
	ActionCloseIdle ActionCode = 7
	// ActionFault ("fault") reports a bug in the decision code.
	ActionFault ActionCode = 8
	// ActionFail ("surrender") responds to a request with a failure. It is the final response.
	ActionFail ActionCode = 9
	// ActionForward ("pass_on") starts an attempt: it forwards a request to an app server.
	ActionForward ActionCode = 10
	// ActionAddToCount ("post_amount") adds to a shared count.
	ActionAddToCount ActionCode = 11
	// ActionCheckHealth ("sample") starts a health check of an app server.
	ActionCheckHealth ActionCode = 12
	// ActionSetTimer ("wake_at") sets a timer.
	ActionSetTimer ActionCode = 13
)

// OutcomeCode is the outcome of an attempt or a health check.
type OutcomeCode uint16

// Outcomes. OutcomeNotSent, OutcomeConnectFailed and OutcomeOverloaded prove that the app server did not execute the attempt.
const (
	OutcomeOK            OutcomeCode = 0
	OutcomeNotSent       OutcomeCode = 249
	OutcomeCancelled     OutcomeCode = 250
	OutcomeReset         OutcomeCode = 251
	OutcomeConnectFailed OutcomeCode = 252
	OutcomeTimedOut      OutcomeCode = 253
	OutcomeOverloaded    OutcomeCode = 254
	OutcomeError         OutcomeCode = 255
)

// ListKind is the kind of an EventEndpointList.
type ListKind uint8

const (
	// ListFull has all endpoints.
	ListFull ListKind = 0
	// ListCached has all endpoints of a cached list, which may be out of date.
	ListCached ListKind = 1
	// ListFailed stands for a failed call to discovery. It has no endpoints.
	ListFailed ListKind = 2
	// ListDelta has the changed endpoints.
	ListDelta ListKind = 3
)

// EndpointState is the state of an endpoint.
type EndpointState uint8

// States of an endpoint.
const (
	EndpointDraining   EndpointState = 0
	EndpointInService  EndpointState = 1
	EndpointTerminated EndpointState = 3
)

// AllPeers is the receiver of an ActionSendPeerMessage to all other instances.
const AllPeers uint32 = 1<<32 - 1

// WatchStart is the field of an ActionWatchEndpoints that starts the watch.
const WatchStart uint8 = 1
