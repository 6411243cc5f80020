package operatorfile

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"cherrygap/internal/settings"
)

// The structs below hold the deprecated keys. Each is embedded in the struct of its table, beside the standard keys.
// adoptDeprecated moves their values to the standard keys, so that deprecated fields are nil in a File that Parse returns.

// Deprecation is a deprecated key, or a deprecated word at a key, in a file.
type Deprecation struct {
	Key      string // as the file spells it
	Line     int    // from 1; 0 where unknown
	Standard string // the key, or key and word, to write instead
}

// String returns the notice for the operator.
func (d Deprecation) String() string {
	return KeyError{Key: d.Key, Line: d.Line, Reason: "deprecated; write " + d.Standard}.Error()
}

// deprecatedTables are the deprecated names of tables in File.
type deprecatedTables struct {
	Duties *deprecatedHealthChecks `toml:"duties"`
	Watch  *deprecatedShadow       `toml:"watch"`
}

// deprecatedHealthChecks is the deprecated form of HealthChecks.
type deprecatedHealthChecks struct {
	On      *bool    `toml:"on"`
	CheckMs *float64 `toml:"check_ms"`
	Bytes   *float64 `toml:"bytes"`
}

// deprecatedShadow is the deprecated form of Shadow.
type deprecatedShadow struct {
	On       *bool            `toml:"on"`
	Settings SettingsOverride `toml:"settings"`
}

// deprecatedSettings are the deprecated keys of SettingsOverride.
type deprecatedSettings struct {
	Executions   *int            `toml:"executions"`
	Withdraw     *bool           `toml:"withdraw"`
	PeersTake    *float64        `toml:"peers_take"`
	Advice       *bool           `toml:"advice"`
	AdviceMostMs *float64        `toml:"advice_most_ms"`
	ColdFrom     *float64        `toml:"cold_from"`
	ColdMs       *float64        `toml:"cold_ms"`
	FallMultiple *float64        `toml:"fall_multiple"`
	FallMs       *float64        `toml:"fall_ms"`
	Bands        []ClassOverride `toml:"band"`
}

// deprecatedClassOverride are the deprecated keys of ClassOverride.
type deprecatedClassOverride struct {
	Repeats    *string  `toml:"repeats"`
	ContractMs *float64 `toml:"contract_ms"`
}

// deprecatedPlanOverride are the deprecated keys of PlanOverride.
type deprecatedPlanOverride struct {
	Depth        *float64 `toml:"depth"`
	Open         *int     `toml:"open"`
	CeilingDepth *float64 `toml:"ceiling_depth"`
}

// deprecatedAuthz are the deprecated keys of Authz.
type deprecatedAuthz struct {
	Most     *int      `toml:"most"`
	PassOpen *[]string `toml:"pass_open"`
}

// deprecatedEmulator are the deprecated keys of Emulator.
type deprecatedEmulator struct {
	ColdFactor *float64 `toml:"cold_factor"`
	Reports    *bool    `toml:"reports"`
	Probes     *bool    `toml:"probes"`
}

// deprecatedTraffic are the deprecated keys of Traffic.
type deprecatedTraffic struct {
	AgainP *float64       `toml:"again_p"`
	Conns  *int           `toml:"conns"`
	Bands  []TrafficClass `toml:"band"`
}

// deprecatedRetrySafetyKey is the deprecated key of a class's retry safety.
const deprecatedRetrySafetyKey = "repeats"

// deprecatedClass are the deprecated keys of TrafficClass.
type deprecatedClass struct {
	Repeats *string `toml:"repeats"`
}

// keyNames maps standard keys, tables and lists to the deprecated names that a file gives them.
type keyNames map[string]string

// of returns a standard key as the file spells it. It replaces the longest leading part of the key that has a deprecated
// name: with "settings.class" as "settings.band", "settings.class.0.name" becomes "settings.band.0.name".
func (n keyNames) of(key string) string {
	for table, rest := key, ""; table != ""; {
		if name, ok := n[table]; ok {
			return name + rest
		}
		table = parent(table)
		rest = key[len(table):]
	}
	return key
}

// adopter moves the values of deprecated keys to the standard keys.
type adopter struct {
	defined      map[string]bool // keys in the file, in lower case, lists without numbers
	fileKeys     keyNames
	deprecations []Deprecation
	errors       []KeyError
}

// adoptDeprecated moves the values of deprecated keys to the standard keys. A key that the file gives under both names is an
// error.
func (f *File) adoptDeprecated(meta toml.MetaData) []KeyError {
	a := adopter{defined: map[string]bool{}, fileKeys: keyNames{}}
	for _, key := range meta.Keys() {
		a.defined[strings.ToLower(key.String())] = true
	}
	a.settings("settings", &f.Settings)
	a.shadow(f)
	a.healthChecks(f)
	adopt(&a, "authz.max_in_flight", "most", &f.Authz.Most, &f.Authz.MaxInFlight)
	adopt(&a, "authz.fail_open", "pass_open", &f.Authz.PassOpen, &f.Authz.FailOpen)
	e := &f.Lab.Emulator
	adopt(&a, "lab.emulator.warmup_factor", "cold_factor", &e.ColdFactor, &e.WarmupFactor)
	adopt(&a, "lab.emulator.load_reports", "reports", &e.Reports, &e.LoadReports)
	adopt(&a, "lab.emulator.health_checks", "probes", &e.Probes, &e.HealthChecks)
	a.traffic("lab.load", &f.Lab.Load)
	f.fileKeys, f.Deprecations = a.fileKeys, a.deprecations
	return a.errors
}

// isGiven reports whether the file has a standard key, or a key below it.
func (a *adopter) isGiven(standard string) bool {
	for key := range a.defined {
		if key == standard || strings.HasPrefix(key, standard+".") {
			return true
		}
	}
	return false
}

// recordDeprecated records that a file gives a standard key under a deprecated name. It reports whether the value of the
// deprecated name applies. If the standard name is given too, the value does not apply, and an error is added.
func (a *adopter) recordDeprecated(standard, name string, standardGiven bool) bool {
	a.fileKeys[standard] = name
	a.deprecations = append(a.deprecations, Deprecation{Key: name, Standard: standard})
	if standardGiven {
		a.errors = append(a.errors, KeyError{Key: name, Reason: "deprecated name of " + standard + ", which is given too; keep that one"})
	}
	return !standardGiven
}

// sibling returns the key of a deprecated name beside a standard key, as the file spells its table.
func (a *adopter) sibling(standard, name string) string {
	return a.fileKeys.of(parent(standard)) + "." + name
}

// adopt moves a value from the field of a deprecated name to that of a standard key.
func adopt[T any](a *adopter, standard, name string, from **T, to *T) {
	if *from != nil && a.recordDeprecated(standard, a.sibling(standard, name), a.isGiven(standard)) {
		*to = **from
	}
	*from = nil
}

// adoptPointer is adopt for a field that is nil unless the file gives the standard key.
func adoptPointer[T any](a *adopter, standard, name string, from, to **T) {
	if *from != nil && a.recordDeprecated(standard, a.sibling(standard, name), *to != nil) {
		*to = *from
	}
	*from = nil
}

// adoptList is adopt for a list of tables.
func adoptList[T any](a *adopter, standard, name string, from, to *[]T) {
	if *from != nil && a.recordDeprecated(standard, a.sibling(standard, name), *to != nil) {
		*to = *from
	}
	*from = nil
}

// shadow adopts the table "watch".
func (a *adopter) shadow(f *File) {
	if f.Watch != nil && a.recordDeprecated("shadow", "watch", a.isGiven("shadow")) {
		f.Shadow.Settings = f.Watch.Settings
		adopt(a, "shadow.enabled", "on", &f.Watch.On, &f.Shadow.Enabled)
	}
	f.Watch = nil
	a.settings("shadow.settings", &f.Shadow.Settings)
}

// healthChecks adopts the table "duties".
func (a *adopter) healthChecks(f *File) {
	if old := f.Duties; old != nil && a.recordDeprecated("health_checks", "duties", a.isGiven("health_checks")) {
		adopt(a, "health_checks.enabled", "on", &old.On, &f.HealthChecks.Enabled)
		adopt(a, "health_checks.interval_ms", "check_ms", &old.CheckMs, &f.HealthChecks.IntervalMs)
		adopt(a, "health_checks.max_bytes_per_s", "bytes", &old.Bytes, &f.HealthChecks.MaxBytesPerS)
	}
	f.Duties = nil
}

// settings adopts the keys of a table of settings.
func (a *adopter) settings(prefix string, s *SettingsOverride) {
	adoptPointer(a, prefix+".max_attempts", "executions", &s.Executions, &s.MaxAttempts)
	adoptPointer(a, prefix+".cancel_attempts", "withdraw", &s.Withdraw, &s.CancelAttempts)
	adoptPointer(a, prefix+".peer_messages_per_s", "peers_take", &s.PeersTake, &s.PeerMessagesPerS)
	adoptPointer(a, prefix+".retry_after", "advice", &s.Advice, &s.RetryAfter)
	adoptPointer(a, prefix+".max_retry_after_ms", "advice_most_ms", &s.AdviceMostMs, &s.MaxRetryAfterMs)
	adoptPointer(a, prefix+".slow_start_from", "cold_from", &s.ColdFrom, &s.SlowStartFrom)
	adoptPointer(a, prefix+".slow_start_ms", "cold_ms", &s.ColdMs, &s.SlowStartMs)
	adoptPointer(a, prefix+".overload_multiple", "fall_multiple", &s.FallMultiple, &s.OverloadMultiple)
	adoptPointer(a, prefix+".overload_ms", "fall_ms", &s.FallMs, &s.OverloadMs)
	adoptList(a, prefix+".class", "band", &s.Bands, &s.Classes)
	for i := range s.Classes {
		c, key := &s.Classes[i], entryKey(prefix+".class", i)
		adoptPointer(a, key+".retry_safety", deprecatedRetrySafetyKey, &c.Repeats, &c.RetrySafety)
		if c.RetrySafety != nil {
			*c.RetrySafety = a.retrySafety(key+".retry_safety", *c.RetrySafety)
		}
		adoptPointer(a, key+".latency_objective_ms", "contract_ms", &c.ContractMs, &c.LatencyObjectiveMs)
	}
	for i := range s.Plans {
		p, key := &s.Plans[i], entryKey(prefix+".plan", i)
		adoptPointer(a, key+".burst", "depth", &p.Depth, &p.Burst)
		adoptPointer(a, key+".max_in_flight", "open", &p.Open, &p.MaxInFlight)
		adoptPointer(a, key+".ceiling_burst", "ceiling_depth", &p.CeilingDepth, &p.CeilingBurst)
	}
}

// traffic adopts the keys of the load generator's table.
func (a *adopter) traffic(prefix string, t *Traffic) {
	adopt(a, prefix+".retry_p", "again_p", &t.AgainP, &t.RetryProbability)
	adopt(a, prefix+".connections", "conns", &t.Conns, &t.Connections)
	adoptList(a, prefix+".class", "band", &t.Bands, &t.Classes)
	for i := range t.Classes {
		c, key := &t.Classes[i], entryKey(prefix+".class", i)+".retry_safety"
		if c.Repeats != nil && a.recordDeprecated(key, a.sibling(key, deprecatedRetrySafetyKey), c.RetrySafety != "") {
			c.RetrySafety = *c.Repeats
		} else if _, deprecated := a.fileKeys[prefix+".class"]; deprecated && c.RetrySafety == "" {
			// Validate reports the missing key. In a list with a deprecated name it names the deprecated key.
			a.fileKeys[key] = a.sibling(key, deprecatedRetrySafetyKey)
		}
		c.Repeats = nil
		c.RetrySafety = a.retrySafety(key, c.RetrySafety)
	}
}

// deprecatedRetrySafety maps the deprecated words of retry safety to the standard ones.
var deprecatedRetrySafety = map[string]string{
	"replayable": settings.RetrySafe, "referenced": settings.RetryKeyed, "single-use": settings.RetryUnsafe,
}

// retrySafety returns the standard word for the retry safety at a key. It records a deprecated word.
func (a *adopter) retrySafety(key, word string) string {
	standard, deprecated := deprecatedRetrySafety[word]
	if !deprecated {
		return word
	}
	a.recordDeprecatedWord(key, fmt.Sprintf("%s = %q", key, standard))
	return standard
}

// recordDeprecatedWord records that a key has a deprecated word. If the last deprecation is that of the key, it gets the
// standard form of both; otherwise a new one is added.
func (a *adopter) recordDeprecatedWord(key, standard string) {
	fileKey := a.fileKeys.of(key)
	if last := len(a.deprecations) - 1; last >= 0 && a.deprecations[last].Key == fileKey {
		a.deprecations[last].Standard = standard
		return
	}
	a.deprecations = append(a.deprecations, Deprecation{Key: fileKey, Standard: standard})
}

// entryKey returns the key of an entry of a list.
func entryKey(list string, i int) string { return list + "." + strconv.Itoa(i) }
