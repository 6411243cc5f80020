package settings

import (
	"strconv"
	"strings"
)

// translate turns a value of the platform into this package's.
type translate func(value string) string

// translation is the key, and the form of the value, that a setting of the platform becomes.
type translation struct {
	key   string // of a list's entry: its field
	value translate
}

// lists are the settings that come as lists, by the platform's names. An entry keeps its number.
var lists = map[string]string{
	"services":         classList,
	"tiers_of_service": planList,
}

// translations are the settings that are read, by the platform's names. The name of a list's entry has no number here.
var translations = map[string]translation{
	"slot_no":          {Node, verbatim},
	"replicas_of_me":   {Nodes, verbatim},
	"tick":             {Tick, tenths},
	"registry_mode":    {EndpointList, word},
	"feedback.columns": {LoadReportFields, columns},
	"feedback.how":     {LoadReportChannel, verbatim},

	// Request classes.
	"services":             {classList, verbatim},
	"services.name":        {string(ClassName), verbatim},
	"services.semantics":   {string(ClassRetrySafety), word},
	"services.slo":         {string(ClassLatencyObjective), tenths},
	"services.deadline":    {string(ClassDeadline), tenths},
	"services.group":       {string(ClassIdempotencyGroup), verbatim},
	"services.window":      {string(ClassIdempotencyWindow), tenths},
	"services.worth":       {string(ClassPriorityWeight), verbatim},
	"services.late_value":  {string(ClassLateShare), verbatim},
	"services.stream":      {string(ClassStreaming), verbatim},
	"services.aim_stretch": {string(ClassObjectiveStretch), verbatim},

	// Plans of tenants: quotas and what a request is worth.
	"tiers_of_service":                  {planList, verbatim},
	"tiers_of_service.name":             {string(PlanName), verbatim},
	"tiers_of_service.depth":            {string(PlanBurst), verbatim},
	"tiers_of_service.units_per_s":      {string(PlanRate), verbatim},
	"tiers_of_service.max_out":          {string(PlanMaxInFlight), verbatim},
	"tiers_of_service.value_factor":     {string(PlanPriorityFactor), verbatim},
	"tiers_of_service.beyond_earns":     {string(PlanOverQuotaShare), verbatim},
	"tiers_of_service.beyond_costs":     {string(PlanOverQuotaCost), verbatim},
	"tiers_of_service.hard_rate":        {string(PlanCeilingRate), verbatim},
	"tiers_of_service.never_over_depth": {string(PlanCeilingBurst), verbatim},
	"tiers_of_service.cap_slack":        {string(PlanCeilingSlack), verbatim},

	// What the node may do, and how much of it.
	"limits.attempts_cap":    {MaxAttempts, verbatim},
	"limits.second_copies":   {Hedging, verbatim},
	"limits.cancel":          {CancelAttempts, verbatim},
	"limits.probes":          {HealthChecks, verbatim},
	"limits.peers":           {Peers, verbatim},
	"limits.retry_after":     {RetryAfter, verbatim},
	"limits.max_retry_after": {MaxRetryAfter, tenths},
	"limits.max_open":        {MaxRequests, verbatim},
	"limits.conn_idle":       {IdleTimeout, tenths},
	"limits.connect_timeout": {ConnectTimeout, tenths},

	// What app servers bear: slow start, overload and draining.
	"safety.cold":          {SlowStartSpan, tenths},
	"safety.cold_from":     {SlowStartShare, verbatim},
	"safety.fall_multiple": {OverloadMultiple, verbatim},
	"safety.tip_after":     {OverloadSpan, tenths},
	"safety.drain_grace":   {DrainGrace, tenths},
	"safety.answer_slack":  {ResponseSlack, tenths},
	"safety.ask_within":    {PollWithin, tenths},

	"specifics.trued_up":      {EstimatedUnits, verbatim},
	"specifics.largest":       {MaxUnits, verbatim},
	"specifics.peer_in_per_s": {PeerRate, verbatim},
}

// words are the platform's words that name one of a few: the retry safety of a class, and how endpoint lists come.
var words = map[string]string{
	"idempotent": RetrySafe, "deduplicated": RetryKeyed, "at_most_once": RetryUnsafe,
	"subscribe": EndpointListPoll, "automatic": EndpointListPush,
}

// loadColumns are the platform's names of the figures that load reports carry.
var loadColumns = map[string]string{
	"rif": LoadInFlight, "q": LoadQueued, "busy": LoadUtilization, "lat_ms": LoadLatency, "rate": LoadRate,
	"fail_rate": LoadErrorRate,
}

// microsPerTenth is how many microseconds a tenth of a millisecond has.
const microsPerTenth = 100

func verbatim(value string) string { return value }

func word(value string) string { return words[value] }

// tenths turns microseconds, a fraction of which is dropped, into tenths of a millisecond.
func tenths(value string) string {
	micros, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return value
	}
	return strconv.FormatInt(int64(micros)/microsPerTenth, 10)
}

// columns turns the names of a list of load figures; one that is not known becomes empty, so that the others keep their
// places.
func columns(value string) string {
	figures := strings.Split(value, ",")
	for i, name := range figures {
		figures[i] = loadColumns[name]
	}
	return strings.Join(figures, ",")
}
