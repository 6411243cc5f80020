package settings

import "strconv"

// Keys of the settings that stand once. Times are in tenths of a millisecond; what is on or off is On, or anything else.
const (
	Node  = "node"  // this node's number, from 0
	Nodes = "nodes" // how many there are
	Tick  = "tick"  // how late a timer, or the end of an attempt, may be seen

	EndpointList = "endpoint_list" // how endpoint lists come: EndpointListPoll or EndpointListPush
	PollWithin   = "poll_within"   // where lists are polled: the next poll is due within this time

	LoadReportFields  = "load_report.fields"  // the figures of app servers' load reports, in their order, separated by commas
	LoadReportChannel = "load_report.channel" // what they come with, in the platform's words

	MaxAttempts    = "max_attempts"        // of a request
	Hedging        = "hedging"             // on: two attempts of a request may be in flight at once
	CancelAttempts = "cancel_attempts"     // on: attempts may be cancelled
	HealthChecks   = "health_checks"       // on: app servers may be checked
	Peers          = "peers"               // on: nodes may send each other messages
	PeerRate       = "peer_messages_per_s" // messages a second that a node receives
	RetryAfter     = "retry_after"         // on: clients receive Retry-After with a rejection
	MaxRetryAfter  = "max_retry_after"     // the longest time that a client waits for it
	MaxRequests    = "max_requests"        // that a node may have in flight
	IdleTimeout    = "idle_timeout"        // an idle connection to an app server is closed after it
	ConnectTimeout = "connect_timeout"     // of a connection to an app server

	SlowStartSpan    = "slow_start_span"   // a started app server is warm after it at the latest
	SlowStartShare   = "slow_start_share"  // of its capacity that an app server has at its start, at least
	OverloadMultiple = "overload_multiple" // an app server that is warming up crashes when sent more than so many times its capacity,
	OverloadSpan     = "overload_span"     // for this time
	DrainGrace       = "drain_grace"       // attempts to an app server that drains or left must stop within it
	ResponseSlack    = "response_slack"    // after a request's deadline, in which a final response still counts

	EstimatedUnits = "estimated_units" // on: a request's units are an estimate, corrected by its response
	MaxUnits       = "max_units"       // of a request
)

// On is the value of a setting that is on.
const On = "true"

// Values of EndpointList.
const (
	EndpointListPoll = "poll"
	EndpointListPush = "push"
)

// Names that LoadReportFields has.
const (
	LoadInFlight    = "in_flight"
	LoadQueued      = "queued"
	LoadUtilization = "utilization" // of the processor, from 0 to 1
	LoadLatency     = "latency"     // ms
	LoadRate        = "rate"        // requests served a second
	LoadErrorRate   = "error_rate"  // errors a second
)

// The lists, and the keys of how many entries they have.
const (
	classList  = "class"
	planList   = "plan"
	countField = ".count"

	ClassCount = classList + countField
	PlanCount  = planList + countField
)

// ClassField is a setting of a request class; ClassKey is its key.
type ClassField string

// Settings of a request class.
const (
	ClassName              ClassField = "name"
	ClassRetrySafety       ClassField = "retry_safety"       // RetrySafe, RetryKeyed or RetryUnsafe
	ClassLatencyObjective  ClassField = "latency_objective"  // a response within it earns the whole priority weight
	ClassDeadline          ClassField = "deadline"           // how long a client waits, over all its tries
	ClassIdempotencyGroup  ClassField = "idempotency_group"  // servers that know each other's keys: GroupAll, GroupZone or GroupCell
	ClassIdempotencyWindow ClassField = "idempotency_window" // how long a server knows a key
	ClassPriorityWeight    ClassField = "priority_weight"    // what a request is worth
	ClassLateShare         ClassField = "late_share"         // of the weight, that a response after the objective earns
	ClassStreaming         ClassField = "streaming"          // on: the response is streamed
	ClassObjectiveStretch  ClassField = "objective_stretch"  // the objective is longer by so many times the request's own work
)

// Values of ClassRetrySafety.
const (
	RetrySafe   = "safe"   // idempotent: may be repeated
	RetryKeyed  = "keyed"  // repeats with the same idempotency key are dropped
	RetryUnsafe = "unsafe" // must not run twice
)

// Values of ClassIdempotencyGroup.
const (
	GroupAll  = "all"
	GroupZone = "zone"
	GroupCell = "cell"
)

// PlanField is a setting of a tenant's plan; PlanKey is its key.
type PlanField string

// Settings of a plan. Units are what quotas count.
const (
	PlanName           PlanField = "name"
	PlanRate           PlanField = "rate"             // of the quota's token bucket, units a second; 0 for none
	PlanBurst          PlanField = "burst"            // of it, units
	PlanMaxInFlight    PlanField = "max_in_flight"    // attempts of a customer at once; 0 for any number
	PlanPriorityFactor PlanField = "priority_factor"  // multiplies the class's priority weight
	PlanOverQuotaShare PlanField = "over_quota_share" // of its weight, that a request over the quota earns
	PlanOverQuotaCost  PlanField = "over_quota_cost"  // of its weight, that a request over the quota costs
	PlanCeilingRate    PlanField = "ceiling_rate"     // of the hard ceiling's token bucket, units a second; 0 for none
	PlanCeilingBurst   PlanField = "ceiling_burst"    // of it, units
	PlanCeilingSlack   PlanField = "ceiling_slack"    // units that it may be below 0
)

// ClassKey is the key of a setting of the i-th request class, from 0.
func ClassKey(i int, field ClassField) string {
	return entryKey(classList, strconv.Itoa(i), string(field))
}

// PlanKey is the key of a setting of the i-th plan, from 0.
func PlanKey(i int, field PlanField) string {
	return entryKey(planList, strconv.Itoa(i), string(field))
}

func entryKey(list, entry, field string) string { return list + "." + entry + "." + field }
