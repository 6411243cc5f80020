package settings

import "strconv"

// These are the keys of Values outside of lists. Each constant has the name of the field of Settings that holds the
// setting. Texts of times are numbers of units of 100 µs, see TimeUnit. A boolean is true if its text is On.
const (
	Node  = "node"
	Nodes = "nodes"
	Tick  = "tick"

	EndpointList = "endpoint_list"
	PollWithin   = "poll_within"

	LoadReportFields  = "load_report.fields" // field names, separated by commas
	LoadReportChannel = "load_report.channel"

	MaxAttempts    = "max_attempts"
	Hedging        = "hedging"
	CancelAttempts = "cancel_attempts"
	HealthChecks   = "health_checks"
	Peers          = "peers"
	PeerRate       = "peer_messages_per_s"
	RetryAfter     = "retry_after"
	MaxRetryAfter  = "max_retry_after"
	MaxRequests    = "max_requests"
	IdleTimeout    = "idle_timeout"
	ConnectTimeout = "connect_timeout"

	SlowStartSpan    = "slow_start_span"
	SlowStartShare   = "slow_start_share"
	OverloadMultiple = "overload_multiple"
	OverloadSpan     = "overload_span"
	DrainGrace       = "drain_grace"
	ResponseSlack    = "response_slack"

	EstimatedUnits = "estimated_units"
	MaxUnits       = "max_units"
)

// On is the text of a boolean setting that is true. Any other text means false.
const On = "true"

// Values of EndpointListMode.
const (
	EndpointListPoll = "poll" // the node polls for endpoint lists
	EndpointListPush = "push" // the discovery service pushes them
)

// Field names in Settings.LoadReportFields.
const (
	LoadInFlight    = "in_flight"   // number of requests in flight
	LoadQueued      = "queued"      // number of queued requests
	LoadUtilization = "utilization" // CPU utilization, from 0 to 1
	LoadLatency     = "latency"     // latency in milliseconds
	LoadRate        = "rate"        // requests served per second
	LoadErrorRate   = "error_rate"  // errors per second
)

// Prefixes of the keys in lists, and the keys of the lists' declared lengths.
const (
	classList  = "class"
	planList   = "plan"
	countField = ".count"

	ClassCount = classList + countField
	PlanCount  = planList + countField
)

// ClassField is the last part of the key of a class's setting. It names a field of Class. ClassKey returns the whole key.
type ClassField string

// Values of ClassField. The constant ClassName names the field Class.Name, and so on.
const (
	ClassName              ClassField = "name"
	ClassRetrySafety       ClassField = "retry_safety"
	ClassLatencyObjective  ClassField = "latency_objective"
	ClassDeadline          ClassField = "deadline"
	ClassIdempotencyGroup  ClassField = "idempotency_group"
	ClassIdempotencyWindow ClassField = "idempotency_window"
	ClassPriorityWeight    ClassField = "priority_weight"
	ClassLateShare         ClassField = "late_share"
	ClassStreaming         ClassField = "streaming"
	ClassObjectiveStretch  ClassField = "objective_stretch"
)

// Values of RetrySafety.
const (
	RetrySafe   = "safe"   // requests are idempotent and may run more than once
	RetryKeyed  = "keyed"  // servers drop a repeated request with the same idempotency key
	RetryUnsafe = "unsafe" // requests must not run more than once
)

// Values of IdempotencyGroup.
const (
	GroupAll  = "all"  // all servers
	GroupZone = "zone" // the servers of one zone
	GroupCell = "cell" // the servers of one cell
)

// PlanField is the last part of the key of a plan's setting. It names a field of Plan. PlanKey returns the whole key.
type PlanField string

// Values of PlanField. The constant PlanName names the field Plan.Name, and so on.
const (
	PlanName           PlanField = "name"
	PlanRate           PlanField = "rate"
	PlanBurst          PlanField = "burst"
	PlanMaxInFlight    PlanField = "max_in_flight"
	PlanPriorityFactor PlanField = "priority_factor"
	PlanOverQuotaShare PlanField = "over_quota_share"
	PlanOverQuotaCost  PlanField = "over_quota_cost"
	PlanCeilingRate    PlanField = "ceiling_rate"
	PlanCeilingBurst   PlanField = "ceiling_burst"
	PlanCeilingSlack   PlanField = "ceiling_slack"
)

// ClassKey returns the key of a field of the request class with the number i, from 0.
func ClassKey(i int, field ClassField) string {
	return entryKey(classList, strconv.Itoa(i), string(field))
}

// PlanKey returns the key of a field of the plan with the number i, from 0.
func PlanKey(i int, field PlanField) string {
	return entryKey(planList, strconv.Itoa(i), string(field))
}

// entryKey returns the key of a field of an entry in the list with a key prefix.
func entryKey(prefix, entry, field string) string { return prefix + "." + entry + "." + field }
