package settings

import "strconv"

// The keys of Values. Each key stands for the field of Settings with the same name. Times are in time units. A switch is on
// if its text is On.
const (
	Node  = "node"
	Nodes = "nodes"
	Tick  = "tick"

	EndpointList = "endpoint_list"
	PollWithin   = "poll_within"

	LoadReportFields  = "load_report.fields" // names separated by commas
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

// On is the text of a switch that is on. Any other text is off.
const On = "true"

// The choices of an EndpointListMode.
const (
	EndpointListPoll = "poll" // the node polls for endpoint lists
	EndpointListPush = "push" // the discovery service pushes them
)

// The names in Settings.LoadReportFields.
const (
	LoadInFlight    = "in_flight"
	LoadQueued      = "queued"
	LoadUtilization = "utilization" // of the processor, from 0 to 1
	LoadLatency     = "latency"     // ms
	LoadRate        = "rate"        // requests served a second
	LoadErrorRate   = "error_rate"  // errors a second
)

// Prefixes of the keys of lists, and the keys of their declared lengths.
const (
	classList  = "class"
	planList   = "plan"
	countField = ".count"

	ClassCount = classList + countField
	PlanCount  = planList + countField
)

// ClassField is the last part of a key, which names a field of Class. ClassKey returns the whole key.
type ClassField string

// The fields of Class.
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

// The choices of a RetrySafety.
const (
	RetrySafe   = "safe"   // idempotent: may be repeated
	RetryKeyed  = "keyed"  // servers drop repeats with the same idempotency key
	RetryUnsafe = "unsafe" // must not run twice
)

// The choices of an IdempotencyGroup.
const (
	GroupAll  = "all"  // all servers
	GroupZone = "zone" // the servers of a zone
	GroupCell = "cell" // the servers of a cell
)

// PlanField is the last part of a key, which names a field of Plan. PlanKey returns the whole key.
type PlanField string

// The fields of Plan.
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

// entryKey returns the key of a field of an entry of a list.
func entryKey(list, entry, field string) string { return list + "." + entry + "." + field }
