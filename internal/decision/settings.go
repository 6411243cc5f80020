package decision

import "cherrygap/internal/settings"

// retrySafety is how often a request may run.
type retrySafety uint8

const (
	retrySafe  retrySafety = iota // idempotent
	retryKeyed                    // idempotent within a key group and window
	retryNever
)

// keyGroup is the set of servers that share idempotency keys.
type keyGroup uint8

const (
	groupOther keyGroup = iota // unknown: attempts may go anywhere, and a rejection is not harmless
	groupAll
	groupZone
	groupCell
)

// config is the settings of one node as the engine uses them. It does not change.
type config struct {
	self           NodeID
	nodes          int  // size of the fleet, at least 1
	tick           Time // greatest delay of a timer or of the end of an attempt
	connectTimeout Time
	maxAttempts    int  // of a request, at least 1
	cancel         bool // attempts may be cancelled
	idleTimeout    Time // of a connection to a server

	slowStartSpan    Time    // time after its start at which a server is warm
	slowStartShare   float64 // share of its capacity that a server has at its start
	recoveryMultiple float64 // greatest load of a warming server within recoverySpan, relative to its capacity
	recoverySpan     Time

	peers    bool    // nodes send each other messages
	peerRate float64 // messages a second that a node receives

	retryAfter    bool // rejections carry a Retry-After
	maxRetryAfter Time

	pollEndpoints bool    // the node polls for endpoint lists
	pollWithin    float64 // time to the next poll, at most, in units of Time

	classes           []classConfig // by ClassID, at least one
	plans             []quotaPlan   // by PlanID, at least one
	shortestObjective Time          // of all classes
	owners            bool          // customers have quota owners: the nodes are too many for all to message all
	ownerTimeout      Time          // wait of a request for its quota owner, at most
}

// classConfig is the settings of one request class.
type classConfig struct {
	latencyObjective Time
	keyWindow        Time // time for which a server knows an idempotency key
	retrySafety      retrySafety
	keyGroup         keyGroup
}

// quotaPlan is the settings of one quota plan. Rates are units a second.
type quotaPlan struct {
	rate, burst               float64
	maxInFlight               int // 0: no limit
	ceilingRate, ceilingBurst float64
}

// noCeiling reports whether the plan has no hard ceiling. A ceiling that is not a number lets nothing pass.
func (p *quotaPlan) noCeiling() bool { return p.ceilingRate <= 0 && p.ceilingBurst <= 0 }

// newConfig returns the node's settings as the engine uses them. A setting that is missing or malformed is 0 or off.
func newConfig(set *settings.Settings) *config {
	c := &config{
		self:             NodeID(set.Node.Truncated()),
		nodes:            max(1, set.Nodes.Truncated()),
		tick:             timeOf(set.Tick),
		connectTimeout:   timeOf(set.ConnectTimeout),
		maxAttempts:      max(1, set.MaxAttempts.Truncated()),
		cancel:           set.CancelAttempts,
		idleTimeout:      timeOf(set.IdleTimeout),
		slowStartSpan:    timeOf(set.SlowStartSpan),
		slowStartShare:   set.SlowStartShare.Float(),
		recoveryMultiple: set.OverloadMultiple.Float(),
		recoverySpan:     timeOf(set.OverloadSpan),
		peers:            set.Peers,
		peerRate:         set.PeerRate.Float(),
		retryAfter:       set.RetryAfter,
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
	c.owners = ownersNeeded(c.nodes, c.peerRate)
	c.ownerTimeout = ownerTimeout(c.shortestObjective)
	return c
}

// timeOf returns a duration of the settings as engine time: both have the same unit.
func timeOf(d settings.Duration) Time { return Time(d.TruncatedUnits()) }

// newClassConfig returns the settings of a request class. A class of unknown retry safety never runs twice.
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

// newQuotaPlan returns the settings of a tenant plan.
func newQuotaPlan(plan settings.Plan) quotaPlan {
	return quotaPlan{
		rate:         plan.Rate.Float(),
		burst:        plan.Burst.Float(),
		maxInFlight:  plan.MaxInFlight.Truncated(),
		ceilingRate:  plan.CeilingRate.Float(),
		ceilingBurst: plan.CeilingBurst.Float(),
	}
}
