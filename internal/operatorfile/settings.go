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
	MaxAttempts      *int            `toml:"max_attempts"`        // of a request
	CancelAttempts   *bool           `toml:"cancel_attempts"`     // attempts may be cancelled
	Peers            *bool           `toml:"peers"`               // nodes may send each other messages
	PeerMessagesPerS *float64        `toml:"peer_messages_per_s"` // messages a second that a node receives
	RetryAfter       *bool           `toml:"retry_after"`         // a rejection carries Retry-After
	MaxRetryAfterMs  *float64        `toml:"max_retry_after_ms"`  // longest Retry-After, ms
	IdleMs           *float64        `toml:"idle_ms"`             // idle time after which a connection to an app server is closed, ms
	SlowStartFrom    *float64        `toml:"slow_start_from"`     // share of its capacity that an app server has at its start
	SlowStartMs      *float64        `toml:"slow_start_ms"`       // time after its start at which an app server is warm, ms
	OverloadMultiple *float64        `toml:"overload_multiple"`   // load, relative to its present capacity, that crashes a warming app server
	OverloadMs       *float64        `toml:"overload_ms"`         // time that a warming app server stands overload_multiple, ms
	Classes          []ClassOverride `toml:"class"`
	Plans            []PlanOverride  `toml:"plan"`

	deprecatedSettings
}

// ClassOverride overrides settings of one request class, by the platform's name of it.
type ClassOverride struct {
	Name               string   `toml:"name"`
	RetrySafety        *string  `toml:"retry_safety"`         // settings.RetrySafe, RetryKeyed or RetryUnsafe
	Group              *string  `toml:"group"`                // keyed: servers that share idempotency keys; all, zone or cell
	WindowMs           *float64 `toml:"window_ms"`            // keyed: time for which a server knows a key, ms
	LatencyObjectiveMs *float64 `toml:"latency_objective_ms"` // a response within it earns the whole priority weight, ms

	deprecatedClassOverride
}

// PlanOverride overrides settings of one plan, by the platform's name of it.
type PlanOverride struct {
	Name         string   `toml:"name"`
	Rate         *float64 `toml:"rate"`          // of the quota's token bucket, units a second; 0 for none
	Burst        *float64 `toml:"burst"`         // of the quota's token bucket, units
	MaxInFlight  *int     `toml:"max_in_flight"` // attempts of a customer in flight; 0 for no limit
	CeilingRate  *float64 `toml:"ceiling_rate"`  // of the hard ceiling's token bucket, units a second; 0 for none
	CeilingBurst *float64 `toml:"ceiling_burst"` // of the hard ceiling's token bucket, units

	deprecatedPlanOverride
}

// settingOverride is one setting that the file gives: either a word or a number.
type settingOverride struct {
	key   string // below [settings]
	apply func(*settings.Settings)

	word            string   // the value, if it is a word
	words           []string // the valid words; nil if the value is a number
	number          float64  // the value, if it is a number
	lowest, highest float64  // range of valid numbers
}

// settingOverrides collects the settings that the file gives. Each method adds a setting unless its value is nil.
type settingOverrides []settingOverride

// number adds a number, which must be from lowest to highest.
func (g *settingOverrides) number(key string, value *float64, lowest, highest float64, set func(*settings.Settings, settings.Number)) {
	if value != nil {
		number := settings.FloatNumber(*value)
		*g = append(*g, settingOverride{
			key: key, number: *value, lowest: lowest, highest: highest,
			apply: func(s *settings.Settings) { set(s, number) },
		})
	}
}

// duration adds a time of *value milliseconds, which must be from lowest to hourMs.
func (g *settingOverrides) duration(key string, value *float64, lowest float64, set func(*settings.Settings, settings.Duration)) {
	if value != nil {
		duration := settings.Milliseconds(*value)
		*g = append(*g, settingOverride{
			key: key, number: *value, lowest: lowest, highest: hourMs,
			apply: func(s *settings.Settings) { set(s, duration) },
		})
	}
}

// count adds an integer, which must be from lowest to highest.
func (g *settingOverrides) count(key string, value *int, lowest, highest float64, set func(*settings.Settings, settings.Number)) {
	if value != nil {
		number := float64(*value)
		g.number(key, &number, lowest, highest, set)
	}
}

// flag adds a switch.
func (g *settingOverrides) flag(key string, value *bool, set func(*settings.Settings, bool)) {
	if value != nil {
		enabled := *value
		*g = append(*g, settingOverride{
			key: key, word: strconv.FormatBool(enabled), words: []string{"true", "false"},
			apply: func(s *settings.Settings) { set(s, enabled) },
		})
	}
}

// choice adds a choice, which must be one of words.
func (g *settingOverrides) choice(key string, value *string, set func(s *settings.Settings, word string), words ...string) {
	if value != nil {
		word := *value
		*g = append(*g, settingOverride{
			key: key, word: word, words: words,
			apply: func(s *settings.Settings) { set(s, word) },
		})
	}
}

// overrides returns the settings that the file gives. The functions return the number of a class or plan by its name.
func (s *SettingsOverride) overrides(classIndex, planIndex func(name string) int) []settingOverride {
	type (
		node   = settings.Settings
		number = settings.Number
		span   = settings.Duration
	)
	var g settingOverrides
	g.count("max_attempts", s.MaxAttempts, 1, 100, func(n *node, v number) { n.MaxAttempts = v })
	g.flag("cancel_attempts", s.CancelAttempts, func(n *node, v bool) { n.CancelAttempts = v })
	g.flag("peers", s.Peers, func(n *node, v bool) { n.Peers = v })
	g.number("peer_messages_per_s", s.PeerMessagesPerS, 0, 1e6, func(n *node, v number) { n.PeerRate = v })
	g.flag("retry_after", s.RetryAfter, func(n *node, v bool) { n.RetryAfter = v })
	g.duration("max_retry_after_ms", s.MaxRetryAfterMs, 0, func(n *node, v span) { n.MaxRetryAfter = v })
	g.duration("idle_ms", s.IdleMs, 0, func(n *node, v span) { n.IdleTimeout = v })
	g.number("slow_start_from", s.SlowStartFrom, 0.001, 1, func(n *node, v number) { n.SlowStartShare = v })
	g.duration("slow_start_ms", s.SlowStartMs, 0, func(n *node, v span) { n.SlowStartSpan = v })
	g.number("overload_multiple", s.OverloadMultiple, 0.1, 1000, func(n *node, v number) { n.OverloadMultiple = v })
	g.duration("overload_ms", s.OverloadMs, 1, func(n *node, v span) { n.OverloadSpan = v })
	for i, c := range s.Classes {
		c.addTo(&g, fmt.Sprintf("class.%d.", i), classIndex(c.Name))
	}
	for i, p := range s.Plans {
		p.addTo(&g, fmt.Sprintf("plan.%d.", i), planIndex(p.Name))
	}
	return g
}

// addTo adds the settings that the file gives for a class. Their keys begin with prefix; index is the class's number.
func (c *ClassOverride) addTo(g *settingOverrides, prefix string, index int) {
	changeClass := func(s *settings.Settings, change func(class *settings.Class)) {
		class := s.Classes.At(index)
		change(&class)
		s.Classes = s.Classes.With(index, class)
	}
	g.choice(prefix+"retry_safety", c.RetrySafety, func(s *settings.Settings, word string) {
		changeClass(s, func(class *settings.Class) { class.RetrySafety = settings.RetrySafety(word) })
	}, settings.RetrySafe, settings.RetryKeyed, settings.RetryUnsafe)
	g.choice(prefix+"group", c.Group, func(s *settings.Settings, word string) {
		changeClass(s, func(class *settings.Class) { class.IdempotencyGroup = settings.IdempotencyGroup(word) })
	}, settings.GroupAll, settings.GroupZone, settings.GroupCell)
	g.duration(prefix+"window_ms", c.WindowMs, 0, func(s *settings.Settings, v settings.Duration) {
		changeClass(s, func(class *settings.Class) { class.IdempotencyWindow = v })
	})
	g.duration(prefix+"latency_objective_ms", c.LatencyObjectiveMs, 1, func(s *settings.Settings, v settings.Duration) {
		changeClass(s, func(class *settings.Class) { class.LatencyObjective = v })
	})
}

// addTo adds the settings that the file gives for a plan. Their keys begin with prefix; index is the plan's number.
func (p *PlanOverride) addTo(g *settingOverrides, prefix string, index int) {
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
	g.number(prefix+"rate", p.Rate, 0, maxUnits, setter(func(p *plan) *number { return &p.Rate }))
	g.number(prefix+"burst", p.Burst, 0, maxUnits, setter(func(p *plan) *number { return &p.Burst }))
	g.count(prefix+"max_in_flight", p.MaxInFlight, 0, maxAttemptsInFlight, setter(func(p *plan) *number { return &p.MaxInFlight }))
	g.number(prefix+"ceiling_rate", p.CeilingRate, 0, maxUnits, setter(func(p *plan) *number { return &p.CeilingRate }))
	g.number(prefix+"ceiling_burst", p.CeilingBurst, 0, maxUnits, setter(func(p *plan) *number { return &p.CeilingBurst }))
}

// The names of the lists in an UnknownNameError. Scripts may match the deprecated name of the list of classes.
const (
	classLabel = "band"
	planLabel  = "plan"
)

// UnknownNameError is the error for a class or plan that is not in the platform's settings.
type UnknownNameError struct {
	List  string   // "band" or "plan"
	Name  string   // as given
	Known []string // names in the platform's settings
}

// Error returns the name, and the known names.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("%s %q: the platform's settings name %s", e.List, e.Name, strings.Join(e.Known, ", "))
}

// Apply returns a copy of the node's settings in which the file's settings replace those of the platform. For a class or
// plan that is not in set it returns nil and an *UnknownNameError. A nil set has no settings.
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
