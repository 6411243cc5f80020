package operatorfile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cherrygap/internal/settings"
)

// SettingsOverride holds settings that the decision engine reads, over what the platform's JSON says. A key that is not
// given leaves the platform's setting as it is.
type SettingsOverride struct {
	MaxAttempts      *int            `toml:"max_attempts"`        // of a request
	CancelAttempts   *bool           `toml:"cancel_attempts"`     // attempts may be cancelled
	Peers            *bool           `toml:"peers"`               // nodes may write to each other
	PeerMessagesPerS *float64        `toml:"peer_messages_per_s"` // that a node takes in
	RetryAfter       *bool           `toml:"retry_after"`         // a rejection may say when to try again
	MaxRetryAfterMs  *float64        `toml:"max_retry_after_ms"`  // the longest such time, ms
	IdleMs           *float64        `toml:"idle_ms"`             // idle connections to app servers are closed after it, ms
	SlowStartFrom    *float64        `toml:"slow_start_from"`     // least share of its capacity that a started app server has
	SlowStartMs      *float64        `toml:"slow_start_ms"`       // it is warm after so long at the latest, ms
	OverloadMultiple *float64        `toml:"overload_multiple"`   // sent more than so many times its present capacity
	OverloadMs       *float64        `toml:"overload_ms"`         // for so long it falls over, ms
	Classes          []ClassOverride `toml:"class"`
	Plans            []PlanOverride  `toml:"plan"`

	deprecatedSettings
}

// ClassOverride is one request class, by the platform's name of it.
type ClassOverride struct {
	Name               string   `toml:"name"`
	RetrySafety        *string  `toml:"retry_safety"`         // settings.RetrySafe, RetryKeyed or RetryUnsafe
	Group              *string  `toml:"group"`                // keyed: which servers drop a repeat, all, zone or cell
	WindowMs           *float64 `toml:"window_ms"`            // keyed: for how long after the first attempt, ms
	LatencyObjectiveMs *float64 `toml:"latency_objective_ms"` // a response within it earns the whole priority weight, ms

	deprecatedClassOverride
}

// PlanOverride is one plan, by the platform's name of it.
type PlanOverride struct {
	Name         string   `toml:"name"`
	Rate         *float64 `toml:"rate"`          // quota, units a second; 0 for none
	Burst        *float64 `toml:"burst"`         // units that may be used at once
	MaxInFlight  *int     `toml:"max_in_flight"` // attempts at once; 0 for no cap
	CeilingRate  *float64 `toml:"ceiling_rate"`  // hard ceiling, units a second; 0 for none
	CeilingBurst *float64 `toml:"ceiling_burst"` // units that it lets pass at once

	deprecatedPlanOverride
}

// givenSetting is one setting that the file gives.
type givenSetting struct {
	key   string // below [settings]
	apply func(*settings.Settings)

	word            string   // as given, where it is one
	words           []string // that word may be; nil for a number
	number          float64  // as given, where it is one
	lowest, highest float64  // range of number
}

// givenSettings collects settings; each method adds one whose value is not nil.
type givenSettings []givenSetting

func (g *givenSettings) number(key string, value *float64, lowest, highest float64, set func(*settings.Settings, settings.Number)) {
	if value != nil {
		number := settings.FloatNumber(*value)
		*g = append(*g, givenSetting{
			key: key, number: *value, lowest: lowest, highest: highest,
			apply: func(s *settings.Settings) { set(s, number) },
		})
	}
}

// duration adds a time of *value milliseconds, which must be from lowest to hourMs.
func (g *givenSettings) duration(key string, value *float64, lowest float64, set func(*settings.Settings, settings.Duration)) {
	if value != nil {
		duration := settings.Milliseconds(*value)
		*g = append(*g, givenSetting{
			key: key, number: *value, lowest: lowest, highest: hourMs,
			apply: func(s *settings.Settings) { set(s, duration) },
		})
	}
}

func (g *givenSettings) count(key string, value *int, lowest, highest float64, set func(*settings.Settings, settings.Number)) {
	if value != nil {
		number := float64(*value)
		g.number(key, &number, lowest, highest, set)
	}
}

func (g *givenSettings) flag(key string, value *bool, set func(*settings.Settings, bool)) {
	if value != nil {
		enabled := *value
		*g = append(*g, givenSetting{
			key: key, word: strconv.FormatBool(enabled), words: []string{"true", "false"},
			apply: func(s *settings.Settings) { set(s, enabled) },
		})
	}
}

func (g *givenSettings) choice(key string, value *string, set func(s *settings.Settings, word string), words ...string) {
	if value != nil {
		word := *value
		*g = append(*g, givenSetting{
			key: key, word: word, words: words,
			apply: func(s *settings.Settings) { set(s, word) },
		})
	}
}

// given lists the settings that the file gives; classIndex and planIndex find the numbers of classes and plans by name.
func (s *SettingsOverride) given(classIndex, planIndex func(name string) int) []givenSetting {
	type (
		node   = settings.Settings
		number = settings.Number
		span   = settings.Duration
	)
	var g givenSettings
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
		c.given(&g, fmt.Sprintf("class.%d.", i), classIndex(c.Name))
	}
	for i, p := range s.Plans {
		p.given(&g, fmt.Sprintf("plan.%d.", i), planIndex(p.Name))
	}
	return g
}

// given adds the settings that the file gives for a class. Their keys begin with prefix; index is the class's number.
func (c *ClassOverride) given(g *givenSettings, prefix string, index int) {
	change := func(s *settings.Settings, change func(class *settings.Class)) {
		class := s.Classes.At(index)
		change(&class)
		s.Classes = s.Classes.With(index, class)
	}
	g.choice(prefix+"retry_safety", c.RetrySafety, func(s *settings.Settings, word string) {
		change(s, func(class *settings.Class) { class.RetrySafety = settings.RetrySafety(word) })
	}, settings.RetrySafe, settings.RetryKeyed, settings.RetryUnsafe)
	g.choice(prefix+"group", c.Group, func(s *settings.Settings, word string) {
		change(s, func(class *settings.Class) { class.IdempotencyGroup = settings.IdempotencyGroup(word) })
	}, settings.GroupAll, settings.GroupZone, settings.GroupCell)
	g.duration(prefix+"window_ms", c.WindowMs, 0, func(s *settings.Settings, v settings.Duration) {
		change(s, func(class *settings.Class) { class.IdempotencyWindow = v })
	})
	g.duration(prefix+"latency_objective_ms", c.LatencyObjectiveMs, 1, func(s *settings.Settings, v settings.Duration) {
		change(s, func(class *settings.Class) { class.LatencyObjective = v })
	})
}

// given adds the settings that the file gives for a plan. Their keys begin with prefix; index is the plan's number.
func (p *PlanOverride) given(g *givenSettings, prefix string, index int) {
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
	g.count(prefix+"max_in_flight", p.MaxInFlight, 0, maxAtOnce, setter(func(p *plan) *number { return &p.MaxInFlight }))
	g.number(prefix+"ceiling_rate", p.CeilingRate, 0, maxUnits, setter(func(p *plan) *number { return &p.CeilingRate }))
	g.number(prefix+"ceiling_burst", p.CeilingBurst, 0, maxUnits, setter(func(p *plan) *number { return &p.CeilingBurst }))
}

// What UnknownNameError calls the lists. The word for a class is that of earlier releases, which scripts may look for.
const (
	classLabel = "band"
	planLabel  = "plan"
)

// UnknownNameError is a class or plan that the platform's settings do not name.
type UnknownNameError struct {
	List  string   // that it should be in
	Name  string   // that was given
	Known []string // that would do
}

// Error is the name, and those that would do.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("%s %q: the platform's settings name %s", e.List, e.Name, strings.Join(e.Known, ", "))
}

// Apply returns a copy of the node's settings with the given settings written over it. A class or plan that the settings
// do not name is an *UnknownNameError; then there is no copy. It may be called on a nil set.
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
	given := s.given(indexIn(classLabel, out.ClassNames()), indexIn(planLabel, out.PlanNames()))
	if unknown != nil {
		return nil, unknown
	}
	for _, setting := range given {
		setting.apply(&out)
	}
	return &out, nil
}
