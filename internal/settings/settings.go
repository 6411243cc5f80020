package settings

// Settings holds the settings of one node. Parse, FromText and FromJSON return it. A field whose setting is not given has
// its zero value. A running node does not modify its Settings, so several goroutines may read them.
type Settings struct {
	Node  Number   // number of this node, from 0
	Nodes Number   // number of nodes in the fleet
	Tick  Duration // longest delay of a timer, or of the notification that an attempt has ended

	EndpointList EndpointListMode
	PollWithin   Duration // longest time to the next poll; only for EndpointListPoll

	LoadReportFields  []string // LoadInFlight and so on, in the order of app servers' load reports; "" for an unknown field
	LoadReportChannel string   // channel of load reports, as the platform names it

	MaxAttempts    Number   // maximum number of attempts per request
	Hedging        bool     // whether two attempts of a request may be in flight at once
	CancelAttempts bool     // whether the node may cancel attempts
	HealthChecks   bool     // whether nodes may check the health of app servers
	Peers          bool     // whether nodes may send each other messages
	PeerRate       Number   // maximum number of messages that a node receives from peers, per second
	RetryAfter     bool     // whether a rejection may carry Retry-After
	MaxRetryAfter  Duration // longest Retry-After
	MaxRequests    Number   // maximum number of requests in flight at a node
	IdleTimeout    Duration // idle timeout of connections to app servers
	ConnectTimeout Duration // timeout for opening a connection to an app server

	SlowStartSpan    Duration // time from an app server's start until the app server is warm
	SlowStartShare   Number   // share of its capacity that an app server has at its start
	OverloadMultiple Number   // load that crashes a warming app server after OverloadSpan, relative to its capacity then
	OverloadSpan     Duration // longest time for which a warming app server sustains OverloadMultiple
	DrainGrace       Duration // time in which attempts to a draining or removed app server have to end
	ResponseSlack    Duration // time after a request's deadline within which a final response still counts

	EstimatedUnits bool   // whether a request's units are an estimate that its response corrects
	MaxUnits       Number // maximum units of a request; 0 or less means no limit

	Classes List[Class] // request classes
	Plans   List[Plan]  // tenants' plans
}

// EndpointListMode is the way in which the node receives endpoint lists: EndpointListPoll or EndpointListPush. Any other text
// is treated as EndpointListPush.
type EndpointListMode string

// RetrySafety states whether a request may run more than once: RetrySafe, RetryKeyed or RetryUnsafe. Any other text must be
// treated as RetryUnsafe.
type RetrySafety string

// IdempotencyGroup is the set of servers that share idempotency keys: GroupAll, GroupZone or GroupCell. Any other text means
// that the set is unknown.
type IdempotencyGroup string

// Class holds the settings of one request class.
type Class struct {
	Named bool   // whether the settings contain a name, which may be empty
	Name  string // name of the class; "" if it is not given

	RetrySafety       RetrySafety
	LatencyObjective  Duration // latency up to which a response earns the whole priority weight
	Deadline          Duration // longest time that a client waits, over all its retries
	IdempotencyGroup  IdempotencyGroup
	IdempotencyWindow Duration // time for which a server remembers an idempotency key
	PriorityWeight    Number   // value of a response
	LateShare         Number   // share of the priority weight that a response after the latency objective earns
	Streaming         bool     // whether responses are streamed
	ObjectiveStretch  Number   // multiple of a request's own work by which its latency objective is extended
}

// Plan holds the settings of one tenant plan. Units are those that quotas count.
type Plan struct {
	Name           string // name of the plan; "" if it is not given
	Rate           Number // refill rate of the quota's token bucket, in units per second; 0 or less means no limit
	Burst          Number // capacity of the quota's token bucket, in units
	MaxInFlight    Number // maximum number of a customer's attempts in flight; 0 means no limit
	PriorityFactor Number // factor by which the priority weight of the class is multiplied
	OverQuotaShare Number // share of its priority weight that a request over the quota earns
	OverQuotaCost  Number // share of its priority weight that a request over the quota costs
	CeilingRate    Number // refill rate of the hard ceiling's token bucket, in units per second
	CeilingBurst   Number // capacity of that bucket, in units; 0 or less in this and CeilingRate means no ceiling
	CeilingSlack   Number // units by which that bucket may be below 0
}

// PollsEndpoints reports whether the node polls for endpoint lists.
func (s *Settings) PollsEndpoints() bool { return s.EndpointList == EndpointListPoll }

// ClassNames returns the names of the request classes, indexed by class number. A name that is not given is "".
func (s *Settings) ClassNames() []string {
	var names []string
	for i := range s.Classes.NamedLen() {
		names = append(names, s.Classes.At(i).Name)
	}
	return names
}

// PlanNames returns the names of the plans, indexed by plan number. A name that is not given is "".
func (s *Settings) PlanNames() []string {
	var names []string
	for i := range s.Plans.NamedLen() {
		names = append(names, s.Plans.At(i).Name)
	}
	return names
}
