package operatorfile

import (
	"fmt"
	"maps"
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

// tenthsPerMs is how many of the decision engine's units of time a millisecond has.
const tenthsPerMs = 10

// entry is one setting that is given.
type entry struct {
	key   string // below [settings]
	name  string // the key in the decision engine's settings
	value string // there

	words           []string // that the value may be; nil for a number
	number          float64  // as given
	lowest, highest float64  // that it may be
}

// entryList collects entries; each method adds one where its value is given.
type entryList []entry

func (l *entryList) number(key, name string, value *float64, scale, lowest, highest float64) {
	if value != nil {
		*l = append(*l, entry{
			key: key, name: name, value: strconv.FormatFloat(*value*scale, 'f', -1, 64),
			number: *value, lowest: lowest, highest: highest,
		})
	}
}

func (l *entryList) count(key, name string, value *int, lowest, highest float64) {
	if value != nil {
		number := float64(*value)
		l.number(key, name, &number, 1, lowest, highest)
	}
}

func (l *entryList) flag(key, name string, value *bool) {
	if value != nil {
		*l = append(*l, entry{key: key, name: name, value: strconv.FormatBool(*value), words: []string{"true", "false"}})
	}
}

func (l *entryList) word(key, name string, value *string, words ...string) {
	if value != nil {
		*l = append(*l, entry{key: key, name: name, value: *value, words: words})
	}
}

// entries lists what is given, whatever the numbers of classes and plans; classIndex and planIndex find those by name.
func (s *SettingsOverride) entries(classIndex, planIndex func(name string) int) []entry {
	var l entryList
	l.count("max_attempts", settings.MaxAttempts, s.MaxAttempts, 1, 100)
	l.flag("cancel_attempts", settings.CancelAttempts, s.CancelAttempts)
	l.flag("peers", settings.Peers, s.Peers)
	l.number("peer_messages_per_s", settings.PeerRate, s.PeerMessagesPerS, 1, 0, 1e6)
	l.flag("retry_after", settings.RetryAfter, s.RetryAfter)
	l.number("max_retry_after_ms", settings.MaxRetryAfter, s.MaxRetryAfterMs, tenthsPerMs, 0, hourMs)
	l.number("idle_ms", settings.IdleTimeout, s.IdleMs, tenthsPerMs, 0, hourMs)
	l.number("slow_start_from", settings.SlowStartShare, s.SlowStartFrom, 1, 0.001, 1)
	l.number("slow_start_ms", settings.SlowStartSpan, s.SlowStartMs, tenthsPerMs, 0, hourMs)
	l.number("overload_multiple", settings.OverloadMultiple, s.OverloadMultiple, 1, 0.1, 1000)
	l.number("overload_ms", settings.OverloadSpan, s.OverloadMs, tenthsPerMs, 1, hourMs)
	for i, c := range s.Classes {
		c.entries(&l, fmt.Sprintf("class.%d.", i), classIndex(c.Name))
	}
	for i, p := range s.Plans {
		p.entries(&l, fmt.Sprintf("plan.%d.", i), planIndex(p.Name))
	}
	return l
}

// entries adds what is given of the class with that number; its keys in the file begin with prefix.
func (c *ClassOverride) entries(l *entryList, prefix string, class int) {
	name := func(field settings.ClassField) string { return settings.ClassKey(class, field) }
	l.word(prefix+"retry_safety", name(settings.ClassRetrySafety), c.RetrySafety,
		settings.RetrySafe, settings.RetryKeyed, settings.RetryUnsafe)
	l.word(prefix+"group", name(settings.ClassIdempotencyGroup), c.Group, settings.GroupAll, settings.GroupZone, settings.GroupCell)
	l.number(prefix+"window_ms", name(settings.ClassIdempotencyWindow), c.WindowMs, tenthsPerMs, 0, hourMs)
	l.number(prefix+"latency_objective_ms", name(settings.ClassLatencyObjective), c.LatencyObjectiveMs, tenthsPerMs, 1, hourMs)
}

// entries adds what is given of the plan with that number; its keys in the file begin with prefix.
func (p *PlanOverride) entries(l *entryList, prefix string, plan int) {
	name := func(field settings.PlanField) string { return settings.PlanKey(plan, field) }
	l.number(prefix+"rate", name(settings.PlanRate), p.Rate, 1, 0, maxUnits)
	l.number(prefix+"burst", name(settings.PlanBurst), p.Burst, 1, 0, maxUnits)
	l.count(prefix+"max_in_flight", name(settings.PlanMaxInFlight), p.MaxInFlight, 0, maxAtOnce)
	l.number(prefix+"ceiling_rate", name(settings.PlanCeilingRate), p.CeilingRate, 1, 0, maxUnits)
	l.number(prefix+"ceiling_burst", name(settings.PlanCeilingBurst), p.CeilingBurst, 1, 0, maxUnits)
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

// Apply is a copy of the engine's settings with what is given written over it. A class or plan that the settings do
// not name is an *UnknownNameError; then there is no copy.
func (s *SettingsOverride) Apply(set map[string]string) (map[string]string, error) {
	out := maps.Clone(set)
	if out == nil {
		out = map[string]string{}
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
	classIndex := indexIn(classLabel, settings.ClassNames(set))
	planIndex := indexIn(planLabel, settings.PlanNames(set))
	for _, e := range s.entries(classIndex, planIndex) {
		out[e.name] = e.value
	}
	if unknown != nil {
		return nil, unknown
	}
	return out, nil
}
