package operatorfile

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"cherrygap/internal/settings"
)

// The structs below hold the deprecated keys. Most are embedded in the struct of their table, beside the standard keys.
// migrateDeprecated moves their values to the standard keys, so that deprecated fields are nil in a File that Parse returns.

// Deprecation is a deprecated key, or a deprecated word at a key, in a file.
type Deprecation struct {
	Key      string // deprecated key, as the file spells it
	Line     int    // line number, from 1; 0 if unknown
	Standard string // standard key to write instead, with its value where a word is deprecated
}

// String returns the notice for the operator, with the line (if known), the key and the standard key.
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

// deprecatedNames maps the standard names of keys, tables and lists to the deprecated names that the file uses.
type deprecatedNames map[string]string

// spelling returns a standard key as the file spells it. It replaces the longest leading part of the key that has a deprecated
// name. If the file has "settings.band" for "settings.class", "settings.class.0.name" becomes "settings.band.0.name".
func (n deprecatedNames) spelling(key string) string {
	for table, rest := key, ""; table != ""; {
		if name, ok := n[table]; ok {
			return name + rest
		}
		table = parentKey(table)
		rest = key[len(table):]
	}
	return key
}

// migration is the state of File.migrateDeprecated.
type migration struct {
	defined      map[string]bool // keys in the file, in lower case and without the numbers of list entries
	fileKeys     deprecatedNames // deprecated names found so far
	deprecations []Deprecation
	errors       []KeyError
}

// migrateDeprecated moves the values of deprecated keys to the standard keys. It sets f.Deprecations, without lines. A key that
// the file gives under both names is an error.
func (f *File) migrateDeprecated(meta toml.MetaData) []KeyError {
	m := migration{defined: map[string]bool{}, fileKeys: deprecatedNames{}}
	for _, key := range meta.Keys() {
		m.defined[strings.ToLower(key.String())] = true
	}
	m.settings("settings", &f.Settings)
	m.shadow(f)
	m.healthChecks(f)
	migrate(&m, "authz.max_in_flight", "most", &f.Authz.Most, &f.Authz.MaxInFlight)
	migrate(&m, "authz.fail_open", "pass_open", &f.Authz.PassOpen, &f.Authz.FailOpen)
	e := &f.Lab.Emulator
	migrate(&m, "lab.emulator.warmup_factor", "cold_factor", &e.ColdFactor, &e.WarmupFactor)
	migrate(&m, "lab.emulator.load_reports", "reports", &e.Reports, &e.LoadReports)
	migrate(&m, "lab.emulator.health_checks", "probes", &e.Probes, &e.HealthChecks)
	m.traffic("lab.load", &f.Lab.Load)
	f.fileKeys, f.Deprecations = m.fileKeys, m.deprecations
	return m.errors
}

// isGiven reports whether the file has the key under its standard name, or a key below it.
func (m *migration) isGiven(standard string) bool {
	for key := range m.defined {
		if key == standard || strings.HasPrefix(key, standard+".") {
			return true
		}
	}
	return false
}

// recordDeprecated records that the file gives a standard key under a deprecated name. It reports whether the value under the
// deprecated name applies. If the file gives the standard name too, the value does not apply, and recordDeprecated adds an
// error.
func (m *migration) recordDeprecated(standard, name string, standardGiven bool) bool {
	m.fileKeys[standard] = name
	m.deprecations = append(m.deprecations, Deprecation{Key: name, Standard: standard})
	if standardGiven {
		m.errors = append(m.errors, KeyError{Key: name, Reason: "deprecated name of " + standard + ", which is given too; keep that one"})
	}
	return !standardGiven
}

// sibling returns the full key of a deprecated name in the table of a standard key, as the file spells that table.
func (m *migration) sibling(standard, name string) string {
	return m.fileKeys.spelling(parentKey(standard)) + "." + name
}

// migrate moves a value from the field of a deprecated name to the field of the standard key, and sets *from to nil.
func migrate[T any](m *migration, standard, name string, from **T, to *T) {
	if *from != nil && m.recordDeprecated(standard, m.sibling(standard, name), m.isGiven(standard)) {
		*to = **from
	}
	*from = nil
}

// migratePointer is migrate for a standard field that is nil unless the file gives the standard key.
func migratePointer[T any](m *migration, standard, name string, from, to **T) {
	if *from != nil && m.recordDeprecated(standard, m.sibling(standard, name), *to != nil) {
		*to = *from
	}
	*from = nil
}

// migrateList is migrate for a list of tables.
func migrateList[T any](m *migration, standard, name string, from, to *[]T) {
	if *from != nil && m.recordDeprecated(standard, m.sibling(standard, name), *to != nil) {
		*to = *from
	}
	*from = nil
}

// shadow migrates the deprecated table "watch", and the settings in the table "shadow".
func (m *migration) shadow(f *File) {
	if f.Watch != nil && m.recordDeprecated("shadow", "watch", m.isGiven("shadow")) {
		f.Shadow.Settings = f.Watch.Settings
		migrate(m, "shadow.enabled", "on", &f.Watch.On, &f.Shadow.Enabled)
	}
	f.Watch = nil
	m.settings("shadow.settings", &f.Shadow.Settings)
}

// healthChecks migrates the deprecated table "duties".
func (m *migration) healthChecks(f *File) {
	if deprecated := f.Duties; deprecated != nil && m.recordDeprecated("health_checks", "duties", m.isGiven("health_checks")) {
		migrate(m, "health_checks.enabled", "on", &deprecated.On, &f.HealthChecks.Enabled)
		migrate(m, "health_checks.interval_ms", "check_ms", &deprecated.CheckMs, &f.HealthChecks.IntervalMs)
		migrate(m, "health_checks.max_bytes_per_s", "bytes", &deprecated.Bytes, &f.HealthChecks.MaxBytesPerS)
	}
	f.Duties = nil
}

// settings migrates the deprecated keys of a settings table whose key is prefix.
func (m *migration) settings(prefix string, s *SettingsOverride) {
	migratePointer(m, prefix+".max_attempts", "executions", &s.Executions, &s.MaxAttempts)
	migratePointer(m, prefix+".cancel_attempts", "withdraw", &s.Withdraw, &s.CancelAttempts)
	migratePointer(m, prefix+".peer_messages_per_s", "peers_take", &s.PeersTake, &s.PeerMessagesPerS)
	migratePointer(m, prefix+".retry_after", "advice", &s.Advice, &s.RetryAfter)
	migratePointer(m, prefix+".max_retry_after_ms", "advice_most_ms", &s.AdviceMostMs, &s.MaxRetryAfterMs)
	migratePointer(m, prefix+".slow_start_from", "cold_from", &s.ColdFrom, &s.SlowStartFrom)
	migratePointer(m, prefix+".slow_start_ms", "cold_ms", &s.ColdMs, &s.SlowStartMs)
	migratePointer(m, prefix+".overload_multiple", "fall_multiple", &s.FallMultiple, &s.OverloadMultiple)
	migratePointer(m, prefix+".overload_ms", "fall_ms", &s.FallMs, &s.OverloadMs)
	migrateList(m, prefix+".class", "band", &s.Bands, &s.Classes)
	for i := range s.Classes {
		c, key := &s.Classes[i], entryKey(prefix+".class", i)
		migratePointer(m, key+".retry_safety", deprecatedRetrySafetyKey, &c.Repeats, &c.RetrySafety)
		if c.RetrySafety != nil {
			*c.RetrySafety = m.retrySafety(key+".retry_safety", *c.RetrySafety)
		}
		migratePointer(m, key+".latency_objective_ms", "contract_ms", &c.ContractMs, &c.LatencyObjectiveMs)
	}
	for i := range s.Plans {
		p, key := &s.Plans[i], entryKey(prefix+".plan", i)
		migratePointer(m, key+".burst", "depth", &p.Depth, &p.Burst)
		migratePointer(m, key+".max_in_flight", "open", &p.Open, &p.MaxInFlight)
		migratePointer(m, key+".ceiling_burst", "ceiling_depth", &p.CeilingDepth, &p.CeilingBurst)
	}
}

// traffic migrates the deprecated keys of the load generator's table, whose key is prefix.
func (m *migration) traffic(prefix string, t *Traffic) {
	migrate(m, prefix+".retry_p", "again_p", &t.AgainP, &t.RetryProbability)
	migrate(m, prefix+".connections", "conns", &t.Conns, &t.Connections)
	migrateList(m, prefix+".class", "band", &t.Bands, &t.Classes)
	for i := range t.Classes {
		c, key := &t.Classes[i], entryKey(prefix+".class", i)+".retry_safety"
		if c.Repeats != nil && m.recordDeprecated(key, m.sibling(key, deprecatedRetrySafetyKey), c.RetrySafety != "") {
			c.RetrySafety = *c.Repeats
		} else if _, deprecated := m.fileKeys[prefix+".class"]; deprecated && c.RetrySafety == "" {
			// Validate reports the missing key. In a list with a deprecated name, its error names the deprecated key.
			m.fileKeys[key] = m.sibling(key, deprecatedRetrySafetyKey)
		}
		c.Repeats = nil
		c.RetrySafety = m.retrySafety(key, c.RetrySafety)
	}
}

// deprecatedRetrySafety maps the deprecated words of retry safety to the standard ones.
var deprecatedRetrySafety = map[string]string{
	"replayable": settings.RetrySafe, "referenced": settings.RetryKeyed, "single-use": settings.RetryUnsafe,
}

// retrySafety returns the standard word for the retry safety at a key, and records the word if it is deprecated.
func (m *migration) retrySafety(key, word string) string {
	standard, deprecated := deprecatedRetrySafety[word]
	if !deprecated {
		return word
	}
	m.recordDeprecatedWord(key, fmt.Sprintf("%s = %q", key, standard))
	return standard
}

// recordDeprecatedWord records that a key has a deprecated word. If the last deprecation is that of the key itself, standard
// replaces its Standard, so that one notice covers the key and the word.
func (m *migration) recordDeprecatedWord(key, standard string) {
	fileKey := m.fileKeys.spelling(key)
	if last := len(m.deprecations) - 1; last >= 0 && m.deprecations[last].Key == fileKey {
		m.deprecations[last].Standard = standard
		return
	}
	m.deprecations = append(m.deprecations, Deprecation{Key: fileKey, Standard: standard})
}

// entryKey returns the key of entry i, from 0, of a list.
func entryKey(list string, i int) string { return list + "." + strconv.Itoa(i) }
