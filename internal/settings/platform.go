package settings

import (
	"strconv"
	"strings"
	"time"

	"cherrygap/internal/numeric"
)

// translation describes how a setting of the platform becomes one of Values.
type translation struct {
	key  string // key in Values; for an entry of a list, only the field's part of the key
	form form   // form of the text
}

// form translates a setting's text between the platform's form and the form of Values.
type form struct {
	parse  func(text string) string // translates from the platform's form
	format func(text string) string // translates to the platform's form; the inverse of parse for every valid text
}

// listPrefixes maps the platform's names of lists to this package's key prefixes. An entry has the same number in both.
var listPrefixes = map[string]string{
	"services":         classList,
	"tiers_of_service": planList,
}

// translations maps the platform's names of the known settings to their translations. The names of settings in a list omit
// the entry's number: "services.name" for "services.0.name".
var translations = map[string]translation{
	"slot_no":          {Node, verbatim},
	"replicas_of_me":   {Nodes, verbatim},
	"tick":             {Tick, timeUnits},
	"registry_mode":    {EndpointList, enumValue},
	"feedback.columns": {LoadReportFields, loadFields},
	"feedback.how":     {LoadReportChannel, verbatim},

	// Request classes.
	"services":             {classList, verbatim},
	"services.name":        {string(ClassName), verbatim},
	"services.semantics":   {string(ClassRetrySafety), enumValue},
	"services.slo":         {string(ClassLatencyObjective), timeUnits},
	"services.deadline":    {string(ClassDeadline), timeUnits},
	"services.group":       {string(ClassIdempotencyGroup), verbatim},
	"services.window":      {string(ClassIdempotencyWindow), timeUnits},
	"services.worth":       {string(ClassPriorityWeight), verbatim},
	"services.late_value":  {string(ClassLateShare), verbatim},
	"services.stream":      {string(ClassStreaming), verbatim},
	"services.aim_stretch": {string(ClassObjectiveStretch), verbatim},

	// Tenants' plans: quotas and priorities.
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

	// Permissions and limits of the node.
	"limits.attempts_cap":    {MaxAttempts, verbatim},
	"limits.second_copies":   {Hedging, verbatim},
	"limits.cancel":          {CancelAttempts, verbatim},
	"limits.probes":          {HealthChecks, verbatim},
	"limits.peers":           {Peers, verbatim},
	"limits.retry_after":     {RetryAfter, verbatim},
	"limits.max_retry_after": {MaxRetryAfter, timeUnits},
	"limits.max_open":        {MaxRequests, verbatim},
	"limits.conn_idle":       {IdleTimeout, timeUnits},
	"limits.connect_timeout": {ConnectTimeout, timeUnits},

	// Limits of app servers: slow start, overload and draining.
	"safety.cold":          {SlowStartSpan, timeUnits},
	"safety.cold_from":     {SlowStartShare, verbatim},
	"safety.fall_multiple": {OverloadMultiple, verbatim},
	"safety.tip_after":     {OverloadSpan, timeUnits},
	"safety.drain_grace":   {DrainGrace, timeUnits},
	"safety.answer_slack":  {ResponseSlack, timeUnits},
	"safety.ask_within":    {PollWithin, timeUnits},

	"specifics.trued_up":      {EstimatedUnits, verbatim},
	"specifics.largest":       {MaxUnits, verbatim},
	"specifics.peer_in_per_s": {PeerRate, verbatim},
}

// enumValues maps the platform's values of enumerated settings to those of RetrySafety and EndpointListMode.
var enumValues = map[string]string{
	"idempotent": RetrySafe, "deduplicated": RetryKeyed, "at_most_once": RetryUnsafe,
	"subscribe": EndpointListPoll, "automatic": EndpointListPush,
}

// loadFieldNames maps the platform's names of the fields of load reports to those in Settings.LoadReportFields.
var loadFieldNames = map[string]string{
	"rif": LoadInFlight, "q": LoadQueued, "busy": LoadUtilization, "lat_ms": LoadLatency, "rate": LoadRate,
	"fail_rate": LoadErrorRate,
}

// microsPerTimeUnit is the number of microseconds in a TimeUnit.
const microsPerTimeUnit = int64(TimeUnit / time.Microsecond)

// Forms of the settings' texts.
var (
	verbatim   = form{parse: identity, format: identity}
	enumValue  = form{parse: parseEnum, format: formatEnum}
	timeUnits  = form{parse: parseMicros, format: formatMicros}
	loadFields = form{parse: parseLoadFields, format: formatLoadFields}
)

// identity returns the text unchanged.
func identity(value string) string { return value }

// parseEnum translates a platform's value by enumValues. It returns an empty text for an unknown value.
func parseEnum(value string) string { return enumValues[value] }

// parseMicros converts a number of microseconds to whole time units, rounded towards 0. It returns a text that is not a
// number unchanged.
func parseMicros(value string) string {
	micros, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return value
	}
	return strconv.FormatInt(numeric.Truncate[int64](micros)/microsPerTimeUnit, 10)
}

// parseLoadFields translates a list of names by loadFieldNames. Commas separate the names. An unknown name becomes empty, so
// that the other names keep their positions.
func parseLoadFields(value string) string {
	names := strings.Split(value, ",")
	for i, name := range names {
		names[i] = loadFieldNames[name]
	}
	return strings.Join(names, ",")
}
