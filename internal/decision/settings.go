package decision

import "cherrygap/internal/settings"

// retrySafety is the rule for retrying the requests of a class.
type retrySafety uint8

const (
	retrySafe  retrySafety = iota // the request is idempotent and may run any number of times
	retryKeyed                    // the request is idempotent at servers that know its idempotency key
	retryNever                    // the request must run at most once
)

// keyGroup is the set of servers that share idempotency keys.
type keyGroup uint8

const (
	groupUnknown keyGroup = iota // unknown: any server may get attempts; clients can't safely repeat requests that may have run
	groupAll                     // all servers
	groupZone                    // the servers of a zone
	groupCell                    // the servers of a cell
)

// config holds the settings of one node as the engine uses them. It is not modified after newConfig.
type config struct {
	self           NodeID
	nodes          int  // number of nodes in the fleet, at least 1
	tick           Time // longest delay of a timer, or of the notification that an attempt has ended
	connectTimeout Time
	maxAttempts    int  // maximum number of attempts of a request, at least 1
	cancelAllowed  bool // attempts may be cancelled
	idleTimeout    Time // idle time after which a connection to a server is closed

	slowStartSpan    Time    // time from a server's start until the server is warm
	slowStartShare   float64 // share of its capacity that a server has at its start
	overloadMultiple float64 // load limit of a warming server within overloadSpan, as a multiple of its capacity
	overloadSpan     Time    // time over which overloadMultiple applies

	peersEnabled bool    // nodes send each other messages
	peerRate     float64 // maximum number of messages a second that a node receives

	sendsRetryAfter bool // rejections carry a Retry-After
	maxRetryAfter   Time // longest Retry-After

	pollEndpoints bool    // the node polls discovery; otherwise discovery pushes its lists
	pollWithin    float64 // longest time from a failed poll to the next one by the settings, in units of Time; see pollDelay

	classes           []classConfig // by ClassID, at least one
	plans             []quotaPlan   // by PlanID, at least one
	shortestObjective Time          // shortest latency objective of all classes, at least 1 unit of Time
	usesOwners        bool          // customers have quota owners, since the nodes are too many for all to report to all
	ownerTimeout      Time          // longest wait of a request for its quota owner's response
}

// classConfig holds the settings of one request class.
type classConfig struct {
	latencyObjective Time // latency objective, at least 1 unit of Time
	keyWindow        Time // time after an attempt for which servers know its idempotency key
	retrySafety      retrySafety
	keyGroup         keyGroup
}

// quotaPlan holds the settings of one quota plan.
type quotaPlan struct {
	rate         float64 // refill rate in units a second; 0 or less means no limit
	burst        float64 // capacity of the bucket, in units
	maxInFlight  int     // maximum number of attempts in flight; 0 means no limit
	ceilingRate  float64 // refill rate of the hard ceiling, in units a second
	ceilingBurst float64 // capacity of the hard ceiling's bucket, in units
}

// noCeiling reports whether the plan has no hard ceiling. A ceiling that is not a number rejects every request.
func (p *quotaPlan) noCeiling() bool { return p.ceilingRate <= 0 && p.ceilingBurst <= 0 }

// newConfig returns the node's settings as the engine uses them. A setting that is missing or malformed is 0 or off.
func newConfig(set *settings.Settings) *config {
	c := &config{
		self:             NodeID(set.Node.Truncated()),
		nodes:            max(1, set.Nodes.Truncated()),
		tick:             timeOf(set.Tick),
		connectTimeout:   timeOf(set.ConnectTimeout),
		maxAttempts:      max(1, set.MaxAttempts.Truncated()),
		cancelAllowed:    set.CancelAttempts,
		idleTimeout:      timeOf(set.IdleTimeout),
		slowStartSpan:    timeOf(set.SlowStartSpan),
		slowStartShare:   set.SlowStartShare.Float(),
		overloadMultiple: set.OverloadMultiple.Float(),
		overloadSpan:     timeOf(set.OverloadSpan),
		peersEnabled:     set.Peers,
		peerRate:         set.PeerRate.Float(),
		sendsRetryAfter:  set.RetryAfter,
		maxRetryAfter:    timeOf(set.MaxRetryAfter),
		pollEndpoints:    set.PollsEndpoints(),
		pollWithin:       set.PollWithin.FractionalUnits(),
	}
	for i := range set.Classes.Len() {
		c.classes = append(c.classes, newClassConfig(set.Classes.At(i)))
	}
	for i := range set.Plans.Len() {
		c.plans = append(c.plans, newQuotaPlan(set.Plans.At(i)))
	}
	c.shortestObjective = c.classes[0].latencyObjective
	for _, class := range c.classes {
		c.shortestObjective = min(c.shortestObjective, class.latencyObjective)
	}
	c.usesOwners = ownersNeeded(c.nodes, c.peerRate)
	c.ownerTimeout = ownerTimeout(c.shortestObjective)
	return c
}

// timeOf converts a duration of the settings, rounded towards 0. Both types have the same unit.
func timeOf(d settings.Duration) Time { return Time(d.TruncatedUnits()) }

// newClassConfig returns the settings of a request class. If the retry safety is unknown, the requests run at most once.
func newClassConfig(class settings.Class) classConfig {
	c := classConfig{
		latencyObjective: max(timeOf(class.LatencyObjective), 1),
		keyWindow:        timeOf(class.IdempotencyWindow),
		retrySafety:      retryNever,
	}
	switch class.RetrySafety {
	case settings.RetryKeyed:
		c.retrySafety = retryKeyed
	case settings.RetrySafe:
		c.retrySafety = retrySafe
	}
	switch class.IdempotencyGroup {
	case settings.GroupAll:
		c.keyGroup = groupAll
	case settings.GroupZone:
		c.keyGroup = groupZone
	case settings.GroupCell:
		c.keyGroup = groupCell
	}
	return c
}

// newQuotaPlan returns the settings of a quota plan.
func newQuotaPlan(plan settings.Plan) quotaPlan {
	return quotaPlan{
		rate:         plan.Rate.Float(),
		burst:        plan.Burst.Float(),
		maxInFlight:  plan.MaxInFlight.Truncated(),
		ceilingRate:  plan.CeilingRate.Float(),
		ceilingBurst: plan.CeilingBurst.Float(),
	}
}
