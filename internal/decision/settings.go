package decision

import (
	"slices"
	"strconv"
	"strings"

	"cherrygap/internal/settings"
)

// Settings are the figures handed over at start, by the keys of package settings.
type Settings map[string]string

// Number is a number; 0 where the name is missing or its value can't be parsed.
func (s Settings) Number(name string) float64 {
	v, err := strconv.ParseFloat(s[name], 64)
	if err != nil {
		return 0
	}
	return v
}

// Duration is a duration in tenths of a millisecond, cut to whole ones.
func (s Settings) Duration(name string) Time { return Time(s.Number(name)) }

// Enabled tells whether a setting is on: only the word true is.
func (s Settings) Enabled(name string) bool { return s[name] == settings.On }

// Words is a list of words, separated by commas.
func (s Settings) Words(name string) []string {
	if s[name] == "" {
		return nil
	}
	return strings.Split(s[name], ",")
}

// retrySafety is whether a request may run more than once.
type retrySafety uint8

const (
	retrySafe  retrySafety = iota // idempotent
	retryKeyed                    // idempotent within a key group and window
	retryNever
)

// keyGroup is within which servers an idempotency key is known.
type keyGroup uint8

const (
	groupOther keyGroup = iota // not known: bound to nothing, and no reason to reject harmlessly
	groupAll
	groupZone
	groupCell
)

// config is the settings of one node, parsed once.
type config struct {
	self           NodeID
	nodes          int
	tick           Time // how late an end or a timer may be seen
	connectTimeout Time
	maxAttempts    int
	cancel         bool // attempts may be cancelled
	idleTimeout    Time // of a connection to a server

	slowStartSpan    Time    // a server is warm so long after its start
	slowStartShare   float64 // of its capacity that a server has at its start
	recoveryMultiple float64 // of its capacity, that a warming server may be sent at most
	recoverySpan     Time    // over which that counts

	peers    bool    // nodes send each other messages
	peerRate float64 // messages a second that a node takes in

	retryAfter    bool // rejections carry a Retry-After
	maxRetryAfter Time

	pollEndpoints bool    // the endpoint list has to be asked for
	pollWithin    float64 // the span in which discovery is asked again

	classes           []classConfig
	plans             []quotaPlan
	shortestObjective Time
	owners            bool // more nodes than can all hear each other: customers have quota owners
	ownerTimeout      Time // that a request waits for its quota owner
}

// classConfig is the settings of one request class.
type classConfig struct {
	latencyObjective Time
	keyWindow        Time // for which a server knows an idempotency key
	retrySafety      retrySafety
	keyGroup         keyGroup
}

// quotaPlan is the settings of one quota plan. Rates are units a second.
type quotaPlan struct {
	rate, burst               float64
	maxInFlight               int // 0: no limit
	ceilingRate, ceilingBurst float64
}

// noCeiling tells whether the plan has no hard ceiling. One that is not a number is a ceiling that nothing passes.
func (p *quotaPlan) noCeiling() bool { return p.ceilingRate <= 0 && p.ceilingBurst <= 0 }

// parseSettings reads all settings. Nothing is refused: what is missing or malformed reads as 0 or off.
func parseSettings(set Settings) *config {
	c := &config{
		self: NodeID(set.Number(settings.Node)), nodes: max(1, int(set.Number(settings.Nodes))),
		tick: set.Duration(settings.Tick), connectTimeout: set.Duration(settings.ConnectTimeout),
		maxAttempts: max(1, int(set.Number(settings.MaxAttempts))), cancel: set.Enabled(settings.CancelAttempts),
		idleTimeout:   set.Duration(settings.IdleTimeout),
		slowStartSpan: set.Duration(settings.SlowStartSpan), slowStartShare: set.Number(settings.SlowStartShare),
		recoveryMultiple: set.Number(settings.OverloadMultiple), recoverySpan: set.Duration(settings.OverloadSpan),
		peers: set.Enabled(settings.Peers), peerRate: set.Number(settings.PeerRate),
		retryAfter: set.Enabled(settings.RetryAfter), maxRetryAfter: set.Duration(settings.MaxRetryAfter),
		pollEndpoints: set[settings.EndpointList] == settings.EndpointListPoll, pollWithin: set.Number(settings.PollWithin),
		classes: parseClasses(set), plans: parsePlans(set),
	}
	c.shortestObjective = c.classes[0].latencyObjective
	for _, class := range c.classes {
		c.shortestObjective = min(c.shortestObjective, class.latencyObjective)
	}
	c.owners = ownersNeeded(c.nodes, c.peerRate)
	c.ownerTimeout = ownerTimeout(c.shortestObjective)
	return c
}

// parseClasses reads the request classes. One whose retry safety is not known is never run twice.
func parseClasses(set Settings) (out []classConfig) {
	for i := range max(1, int(set.Number(settings.ClassCount))) {
		c := classConfig{
			latencyObjective: max(set.Duration(settings.ClassKey(i, settings.ClassLatencyObjective)), 1),
			keyWindow:        set.Duration(settings.ClassKey(i, settings.ClassIdempotencyWindow)),
			retrySafety:      retryNever,
		}
		switch set[settings.ClassKey(i, settings.ClassRetrySafety)] {
		case settings.RetryKeyed:
			c.retrySafety = retryKeyed
		case settings.RetrySafe:
			c.retrySafety = retrySafe
		}
		groups := []string{groupAll: settings.GroupAll, groupZone: settings.GroupZone, groupCell: settings.GroupCell}
		if g := slices.Index(groups, set[settings.ClassKey(i, settings.ClassIdempotencyGroup)]); g > 0 {
			c.keyGroup = keyGroup(g)
		}
		out = append(out, c)
	}
	return out
}

// parsePlans reads the quota plans.
func parsePlans(set Settings) (out []quotaPlan) {
	for i := range max(1, int(set.Number(settings.PlanCount))) {
		number := func(field settings.PlanField) float64 { return set.Number(settings.PlanKey(i, field)) }
		out = append(out, quotaPlan{
			rate: number(settings.PlanRate), burst: number(settings.PlanBurst),
			maxInFlight: int(number(settings.PlanMaxInFlight)),
			ceilingRate: number(settings.PlanCeilingRate), ceilingBurst: number(settings.PlanCeilingBurst),
		})
	}
	return out
}
