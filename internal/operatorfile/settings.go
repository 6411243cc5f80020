package operatorfile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cherrygap/internal/settings"
)

// SettingsOverride overrides settings of the platform. A nil field leaves the platform's setting as it is.
type SettingsOverride struct {
	MaxAttempts      *int            `toml:"max_attempts"`        // limit of the attempts of a request
	CancelAttempts   *bool           `toml:"cancel_attempts"`     // whether attempts may be cancelled
	Peers            *bool           `toml:"peers"`               // whether nodes may send each other messages
	PeerMessagesPerS *float64        `toml:"peer_messages_per_s"` // limit of the messages that a node receives, per second
	RetryAfter       *bool           `toml:"retry_after"`         // whether a rejection carries Retry-After
	MaxRetryAfterMs  *float64        `toml:"max_retry_after_ms"`  // longest Retry-After, ms
	IdleMs           *float64        `toml:"idle_ms"`             // idle time after which a connection to an app server is closed, ms
	SlowStartFrom    *float64        `toml:"slow_start_from"`     // share of its capacity that an app server has right after its start
	SlowStartMs      *float64        `toml:"slow_start_ms"`       // time from the start of an app server until its full capacity, ms
	OverloadMultiple *float64        `toml:"overload_multiple"`   // load that crashes an app server in slow start, relative to its capacity then
	OverloadMs       *float64        `toml:"overload_ms"`         // time for which an app server in slow start withstands that load, ms
	Classes          []ClassOverride `toml:"class"`
	Plans            []PlanOverride  `toml:"plan"`

	deprecatedSettings
}

// ClassOverride overrides settings of one request class. Name is its name in the platform's settings.
type ClassOverride struct {
	Name               string   `toml:"name"`
	RetrySafety        *string  `toml:"retry_safety"`         // settings.RetrySafe, RetryKeyed or RetryUnsafe
	Group              *string  `toml:"group"`                // servers that share idempotency keys: all, zone or cell; keyed classes only
	WindowMs           *float64 `toml:"window_ms"`            // time for which a server remembers an idempotency key, ms; keyed classes only
	LatencyObjectiveMs *float64 `toml:"latency_objective_ms"` // latency up to which a response earns the whole priority weight, ms

	deprecatedClassOverride
}

// PlanOverride overrides settings of one plan. Name is its name in the platform's settings.
type PlanOverride struct {
	Name         string   `toml:"name"`
	Rate         *float64 `toml:"rate"`          // rate of the quota's token bucket, units per second; 0 for no quota
	Burst        *float64 `toml:"burst"`         // burst of the quota's token bucket, units
	MaxInFlight  *int     `toml:"max_in_flight"` // limit of the attempts of a customer in flight; 0 for no limit
	CeilingRate  *float64 `toml:"ceiling_rate"`  // rate of the hard ceiling's token bucket, units per second; 0 for no ceiling
	CeilingBurst *float64 `toml:"ceiling_burst"` // burst of the hard ceiling's token bucket, units

	deprecatedPlanOverride
}

// settingOverride is one setting that the file gives. Its value is either a word or a number.
type settingOverride struct {
	key   string                   // key relative to the settings table
	apply func(*settings.Settings) // writes the value into the settings

	word            string   // value, if it is a word
	words           []string // valid words; nil if the value is a number
	number          float64  // value, if it is a number
	lowest, highest float64  // range of valid numbers
}

// settingOverrides holds the settings that the file gives. Each method appends a setting, unless the value is nil.
type settingOverrides []settingOverride

// addNumber adds a number, which must be between lowest and highest, both included.
func (o *settingOverrides) addNumber(key string, value *float64, lowest, highest float64, set func(*settings.Settings, settings.Number)) {
	if value != nil {
		number := settings.FloatNumber(*value)
		*o = append(*o, settingOverride{
			key: key, number: *value, lowest: lowest, highest: highest,
			apply: func(s *settings.Settings) { set(s, number) },
		})
	}
}

// addDuration adds a duration of *value milliseconds, which must be between lowest and hourMs, both included.
func (o *settingOverrides) addDuration(key string, value *float64, lowest float64, set func(*settings.Settings, settings.Duration)) {
	if value != nil {
		duration := settings.Milliseconds(*value)
		*o = append(*o, settingOverride{
			key: key, number: *value, lowest: lowest, highest: hourMs,
			apply: func(s *settings.Settings) { set(s, duration) },
		})
	}
}

// addCount adds an integer, which must be between lowest and highest, both included.
func (o *settingOverrides) addCount(key string, value *int, lowest, highest float64, set func(*settings.Settings, settings.Number)) {
	if value != nil {
		number := float64(*value)
		o.addNumber(key, &number, lowest, highest, set)
	}
}

// addFlag adds a boolean.
func (o *settingOverrides) addFlag(key string, value *bool, set func(*settings.Settings, bool)) {
	if value != nil {
		enabled := *value
		*o = append(*o, settingOverride{
			key: key, word: strconv.FormatBool(enabled), words: []string{"true", "false"},
			apply: func(s *settings.Settings) { set(s, enabled) },
		})
	}
}

// addChoice adds a word, which must be one of words.
func (o *settingOverrides) addChoice(key string, value *string, set func(s *settings.Settings, word string), words ...string) {
	if value != nil {
		word := *value
		*o = append(*o, settingOverride{
			key: key, word: word, words: words,
			apply: func(s *settings.Settings) { set(s, word) },
		})
	}
}

// overrides returns the settings that the file gives. classIndex and planIndex return the index of a class or plan in the
// platform's settings.
func (s *SettingsOverride) overrides(classIndex, planIndex func(name string) int) []settingOverride {
	type (
		nodeSettings = settings.Settings
		number       = settings.Number
		duration     = settings.Duration
	)
	var o settingOverrides
	o.addCount("max_attempts", s.MaxAttempts, 1, 100, func(n *nodeSettings, v number) { n.MaxAttempts = v })
	o.addFlag("cancel_attempts", s.CancelAttempts, func(n *nodeSettings, v bool) { n.CancelAttempts = v })
	o.addFlag("peers", s.Peers, func(n *nodeSettings, v bool) { n.Peers = v })
	o.addNumber("peer_messages_per_s", s.PeerMessagesPerS, 0, 1e6, func(n *nodeSettings, v number) { n.PeerRate = v })
	o.addFlag("retry_after", s.RetryAfter, func(n *nodeSettings, v bool) { n.RetryAfter = v })
	o.addDuration("max_retry_after_ms", s.MaxRetryAfterMs, 0, func(n *nodeSettings, v duration) { n.MaxRetryAfter = v })
	o.addDuration("idle_ms", s.IdleMs, 0, func(n *nodeSettings, v duration) { n.IdleTimeout = v })
	o.addNumber("slow_start_from", s.SlowStartFrom, 0.001, 1, func(n *nodeSettings, v number) { n.SlowStartShare = v })
	o.addDuration("slow_start_ms", s.SlowStartMs, 0, func(n *nodeSettings, v duration) { n.SlowStartSpan = v })
	o.addNumber("overload_multiple", s.OverloadMultiple, 0.1, 1000, func(n *nodeSettings, v number) { n.OverloadMultiple = v })
	o.addDuration("overload_ms", s.OverloadMs, 1, func(n *nodeSettings, v duration) { n.OverloadSpan = v })
	for i, c := range s.Classes {
		c.addTo(&o, fmt.Sprintf("class.%d.", i), classIndex(c.Name))
	}
	for i, p := range s.Plans {
		p.addTo(&o, fmt.Sprintf("plan.%d.", i), planIndex(p.Name))
	}
	return o
}

// addTo adds the settings that the file gives for a class. Their keys begin with prefix. index is the index of the class in the
// platform's settings.
func (c *ClassOverride) addTo(o *settingOverrides, prefix string, index int) {
	changeClass := func(s *settings.Settings, change func(class *settings.Class)) {
		class := s.Classes.At(index)
		change(&class)
		s.Classes = s.Classes.With(index, class)
	}
	o.addChoice(prefix+"retry_safety", c.RetrySafety, func(s *settings.Settings, word string) {
		changeClass(s, func(class *settings.Class) { class.RetrySafety = settings.RetrySafety(word) })
	}, settings.RetrySafe, settings.RetryKeyed, settings.RetryUnsafe)
	o.addChoice(prefix+"group", c.Group, func(s *settings.Settings, word string) {
		changeClass(s, func(class *settings.Class) { class.IdempotencyGroup = settings.IdempotencyGroup(word) })
	}, settings.GroupAll, settings.GroupZone, settings.GroupCell)
	o.addDuration(prefix+"window_ms", c.WindowMs, 0, func(s *settings.Settings, v settings.Duration) {
		changeClass(s, func(class *settings.Class) { class.IdempotencyWindow = v })
	})
	o.addDuration(prefix+"latency_objective_ms", c.LatencyObjectiveMs, 1, func(s *settings.Settings, v settings.Duration) {
		changeClass(s, func(class *settings.Class) { class.LatencyObjective = v })
	})
}

// addTo adds the settings that the file gives for a plan. Their keys begin with prefix. index is the index of the plan in the
// platform's settings.
func (p *PlanOverride) addTo(o *settingOverrides, prefix string, index int) {
	setter := func(field func(plan *settings.Plan) *settings.Number) func(*settings.Settings, settings.Number) {
		return func(s *settings.Settings, v settings.Number) {
			plan := s.Plans.At(index)
			*field(&plan) = v
			s.Plans = s.Plans.With(index, plan)
		}
	}
	type (
		plan   = settings.Plan
		number = settings.Number
	)
	o.addNumber(prefix+"rate", p.Rate, 0, maxUnits, setter(func(p *plan) *number { return &p.Rate }))
	o.addNumber(prefix+"burst", p.Burst, 0, maxUnits, setter(func(p *plan) *number { return &p.Burst }))
	o.addCount(prefix+"max_in_flight", p.MaxInFlight, 0, maxAttemptsInFlight, setter(func(p *plan) *number { return &p.MaxInFlight }))
	o.addNumber(prefix+"ceiling_rate", p.CeilingRate, 0, maxUnits, setter(func(p *plan) *number { return &p.CeilingRate }))
	o.addNumber(prefix+"ceiling_burst", p.CeilingBurst, 0, maxUnits, setter(func(p *plan) *number { return &p.CeilingBurst }))
}

// Names of the lists in an UnknownNameError. The list of classes keeps its deprecated name, which scripts may match.
const (
	classLabel = "band"
	planLabel  = "plan"
)

// UnknownNameError is the error for a class or plan that is not in the platform's settings.
type UnknownNameError struct {
	List  string   // list or key in which the name is given: "band", "plan" or "authz.fail_open"
	Name  string   // unknown name, as the file gives it
	Known []string // valid names, from the platform's settings
}

// Error returns the list, the unknown name and the known names.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("%s %q: the platform's settings name %s", e.List, e.Name, strings.Join(e.Known, ", "))
}

// Apply returns a copy of the platform's settings in which the file's settings replace those of the platform. For a class or
// plan that is not in set, Apply returns nil and an *UnknownNameError. A nil set is an empty one.
func (s *SettingsOverride) Apply(set *settings.Settings) (*settings.Settings, error) {
	out := settings.Settings{}
	if set != nil {
		out = *set
	}
	var unknown error
	indexIn := func(label string, known []string) func(string) int {
		return func(name string) int {
			i := slices.Index(known, name)
			if i < 0 && unknown == nil {
				unknown = &UnknownNameError{List: label, Name: name, Known: known}
			}
			return i
		}
	}
	overrides := s.overrides(indexIn(classLabel, out.ClassNames()), indexIn(planLabel, out.PlanNames()))
	if unknown != nil {
		return nil, unknown
	}
	for _, override := range overrides {
		override.apply(&out)
	}
	return &out, nil
}
