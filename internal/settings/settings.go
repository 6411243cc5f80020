package settings

// Settings are the settings of one node. Parse, FromText and FromJSON return them. A field whose setting is not given has
// its zero value. A running node does not modify its Settings, and several goroutines may read them.
type Settings struct {
	Node  Number   // this node's number, from 0
	Nodes Number   // size of the fleet
	Tick  Duration // greatest delay of a timer or of the end of an attempt

	EndpointList EndpointListMode
	PollWithin   Duration // EndpointListPoll: longest time to the next poll

	LoadReportFields  []string // LoadInFlight and so on, in the order of app servers' load reports; "" for an unknown one
	LoadReportChannel string   // how load reports arrive, in the platform's words

	MaxAttempts    Number   // of a request
	Hedging        bool     // two attempts of a request may be in flight at once
	CancelAttempts bool     // attempts may be cancelled
	HealthChecks   bool     // app servers may be checked
	Peers          bool     // nodes may send each other messages
	PeerRate       Number   // messages a second that a node receives
	RetryAfter     bool     // a rejection carries Retry-After
	MaxRetryAfter  Duration // longest Retry-After
	MaxRequests    Number   // in flight at a node
	IdleTimeout    Duration // of a connection to an app server
	ConnectTimeout Duration // of a connection to an app server

	SlowStartSpan    Duration // time after its start at which an app server is warm
	SlowStartShare   Number   // share of its capacity that an app server has at its start
	OverloadMultiple Number   // load, relative to its present capacity, that crashes a warming app server after OverloadSpan
	OverloadSpan     Duration // time that a warming app server stands OverloadMultiple
	DrainGrace       Duration // time for attempts to a draining or removed app server to stop
	ResponseSlack    Duration // time after a request's deadline in which a final response counts

	EstimatedUnits bool   // a request's units are an estimate, which its response corrects
	MaxUnits       Number // of a request; 0 or less: no bound

	Classes List[Class] // request classes
	Plans   List[Plan]  // tenants' plans
}

// EndpointListMode is how the node receives endpoint lists: EndpointListPoll or EndpointListPush. Any other text is treated
// as EndpointListPush.
type EndpointListMode string

// RetrySafety is whether a request may run more than once: RetrySafe, RetryKeyed or RetryUnsafe. Any other text must be
// treated as RetryUnsafe.
type RetrySafety string

// IdempotencyGroup is the set of servers that share idempotency keys: GroupAll, GroupZone or GroupCell. With any other text
// the set is unknown.
type IdempotencyGroup string

// Class is the settings of one request class.
type Class struct {
	Named bool // a name is given, perhaps an empty one
	Name  string

	RetrySafety       RetrySafety
	LatencyObjective  Duration // a response within it earns the whole priority weight
	Deadline          Duration // longest wait of a client, over all its retries
	IdempotencyGroup  IdempotencyGroup
	IdempotencyWindow Duration // time for which a server knows an idempotency key
	PriorityWeight    Number   // value of a response
	LateShare         Number   // share of the weight that a response after the objective earns
	Streaming         bool     // the response is streamed
	ObjectiveStretch  Number   // lengthens the objective by this multiple of the request's own work
}

// Plan is the settings of one tenant plan. Units are those that quotas count.
type Plan struct {
	Name           string
	Rate           Number // of the quota's token bucket, units a second; 0 or less: no limit
	Burst          Number // of the quota's token bucket, units
	MaxInFlight    Number // attempts of a customer in flight; 0: no limit
	PriorityFactor Number // multiplies the class's priority weight
	OverQuotaShare Number // share of its weight that a request over the quota earns
	OverQuotaCost  Number // share of its weight that a request over the quota costs
	CeilingRate    Number // of the hard ceiling's token bucket, units a second; no ceiling if this and CeilingBurst are 0
	CeilingBurst   Number // of the hard ceiling's token bucket, units
	CeilingSlack   Number // units by which the ceiling's token bucket may be below 0
}

// PollsEndpoints reports whether the node polls for endpoint lists.
func (s *Settings) PollsEndpoints() bool { return s.EndpointList == EndpointListPoll }

// ClassNames lists the names of the request classes by number, "" for one that is not given.
func (s *Settings) ClassNames() []string {
	var names []string
	for i := range s.Classes.NamedLen() {
		names = append(names, s.Classes.At(i).Name)
	}
	return names
}

// PlanNames lists the names of the plans by number, "" for one that is not given.
func (s *Settings) PlanNames() []string {
	var names []string
	for i := range s.Plans.NamedLen() {
		names = append(names, s.Plans.At(i).Name)
	}
	return names
}
