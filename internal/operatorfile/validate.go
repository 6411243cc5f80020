package operatorfile

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"cherrygap/internal/settings"
)

// Limits that several keys share.
const (
	hourMs              = 3.6e6   // one hour, in ms
	hourS               = 3600    // one hour, in s
	dayS                = 86_400  // one day, in s
	maxLabMs            = 600_000 // limit of times in the lab, in ms
	maxCount            = 1 << 16 // limit of requests, connections and queue lengths
	maxAttemptsInFlight = 1e6     // limit of a customer's attempts in flight
	maxUnits            = 1e9     // limit of quotas, in units or units per second
)

// Validate returns an error for each invalid value. The errors have the key as the file spells it, and no line. Parse calls
// Validate. A caller that changes a value must call Validate again.
func (f *File) Validate() []KeyError {
	v := validator{fileKeys: f.fileKeys}
	v.oneOfWords("log.level", f.Log.Level, "debug", "info", "warn", "error")
	v.settings("settings", &f.Settings)
	v.settings("shadow.settings", &f.Shadow.Settings)
	v.within("health_checks.interval_ms", f.HealthChecks.IntervalMs, 200, hourMs)
	v.within("authz.max_in_flight", float64(f.Authz.MaxInFlight), 1, maxCount)
	v.within("grpc.calls", float64(f.GRPC.MaxCalls), 1, maxCount)
	v.addressOrNone("authz.service", f.Authz.Service)
	v.addressOrNone("grpc.listen", f.GRPC.Listen)
	v.within("quota.calls", f.Quota.MaxCallsPerS, 1, 1e6)
	v.addressOrNone("quota.store", f.Quota.Store)
	v.within("health_checks.max_bytes_per_s", f.HealthChecks.MaxBytesPerS, 512, 1e6)
	v.emulator(&f.Lab.Emulator)
	v.traffic(&f.Lab.Load)
	return v.errors
}

// validator collects the errors of invalid values.
type validator struct {
	fileKeys deprecatedNames // deprecated names that the file uses
	errors   []KeyError
}

// add adds an error at a key, given by its standard name.
func (v *validator) add(key, format string, args ...any) {
	v.errors = append(v.errors, KeyError{Key: v.fileKeys.spelling(key), Reason: fmt.Sprintf(format, args...)})
}

// within checks that a value is between lowest and highest, both included.
func (v *validator) within(key string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) { // a NaN is out of range too
		v.add(key, "%v is out of range %v to %v", value, lowest, highest)
	}
}

// oneOfWords checks that a value is one of the words.
func (v *validator) oneOfWords(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		v.add(key, "%q is none of %s", value, strings.Join(v.fileWords(key, words), ", "))
	}
}

// fileWords returns the standard words as an error at the key must spell them. These are the deprecated words if the file
// gives the deprecated key of retry safety.
func (v *validator) fileWords(key string, words []string) []string {
	if lastKeyPart(v.fileKeys.spelling(key)) != deprecatedRetrySafetyKey {
		return words
	}
	out := slices.Clone(words)
	for i, word := range words {
		for deprecated, standard := range deprecatedRetrySafety {
			if word == standard {
				out[i] = deprecated
			}
		}
	}
	return out
}

// addressOrNone checks that a value is empty, or an IP address with a port.
func (v *validator) addressOrNone(key, address string) {
	if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
		v.add(key, "%q is not an IP address and port: %v", address, err)
	}
}

// loopback checks that a value is a loopback address with a port, because the lab must not send traffic elsewhere.
func (v *validator) loopback(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		v.add(key, "%q is not an IP address and port: %v", address, err)
	} else if !parsed.Addr().IsLoopback() {
		v.add(key, "%s is not a loopback address", parsed.Addr())
	}
}

// settings checks the settings that the file gives. It does not check class and plan names against the platform's settings.
func (v *validator) settings(prefix string, s *SettingsOverride) {
	anyIndex := func(string) int { return 0 } // the index matters only to apply, which is not called here
	for _, override := range s.overrides(anyIndex, anyIndex) {
		if override.words != nil {
			v.oneOfWords(prefix+"."+override.key, override.word, override.words...)
		} else {
			v.within(prefix+"."+override.key, override.number, override.lowest, override.highest)
		}
	}
	classes := make([]string, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.Name
	}
	plans := make([]string, len(s.Plans))
	for i, p := range s.Plans {
		plans[i] = p.Name
	}
	v.names(prefix+".class", classes)
	v.names(prefix+".plan", plans)
}

// names checks that each entry of a list has a name, and that no name occurs twice.
func (v *validator) names(list string, names []string) {
	for i, name := range names {
		key := list + "." + strconv.Itoa(i) + ".name"
		if name == "" {
			v.add(key, "is empty; it must be the platform's name of the %s", lastKeyPart(v.fileKeys.spelling(list)))
		} else if slices.Contains(names[:i], name) {
			v.add(key, "%q is given twice", name)
		}
	}
}

// emulator checks the configuration of the emulated app servers.
func (v *validator) emulator(e *Emulator) {
	const prefix = "lab.emulator."
	v.loopback(prefix+"listen", e.Listen)
	v.within(prefix+"servers", float64(e.Servers), 1, 512)
	v.within(prefix+"concurrency", float64(e.Concurrency), 1, 4096)
	v.within(prefix+"queue", float64(e.Queue), 0, maxCount)
	v.within(prefix+"connections", float64(e.Connections), 1, maxCount)
	v.within(prefix+"service_ms", e.ServiceMs, 0.01, 60000)
	v.within(prefix+"spread", e.ServiceTimeSigma, 0, 3)
	v.within(prefix+"handshake_ms", e.HandshakeMs, 0, 10000)
	v.within(prefix+"warmup_s", e.WarmupS, 0, hourS)
	v.within(prefix+"warmup_factor", e.WarmupFactor, 1, 100)
	v.within(prefix+"idle_s", e.IdleS, 0.1, hourS)
	v.within(prefix+"drain_ms", e.DrainMs, 0, maxLabMs)
}

// traffic checks the configuration of the load generator's traffic.
func (v *validator) traffic(t *Traffic) {
	const prefix = "lab.load."
	v.loopback(prefix+"target", t.Target)
	v.within(prefix+"rate", t.Rate, 0.01, 1e6)
	v.within(prefix+"duration_s", t.DurationS, 0.1, dayS)
	v.within(prefix+"customers", float64(t.Customers), 1, 1<<33)
	v.within(prefix+"skew", t.Skew, 1.0001, 10)
	v.within(prefix+"burst_s", t.BurstPeriodS, 0, dayS)
	v.within(prefix+"burst_len_s", t.BurstLengthS, 0, dayS)
	v.within(prefix+"burst_x", t.BurstFactor, 1, 1000)
	v.within(prefix+"retry_p", t.RetryProbability, 0, 1)
	v.within(prefix+"connections", float64(t.Connections), 1, maxCount)
	v.within(prefix+"spread", float64(t.Spread), 1, 1024)
	if t.Plan == "" {
		v.add(prefix+"plan", "is empty")
	}
	v.trafficClasses(prefix+"class", t.Classes)
}

// trafficClasses checks the classes of the load generator's traffic.
func (v *validator) trafficClasses(list string, classes []TrafficClass) {
	if len(classes) == 0 {
		v.add(list, "no %s is given", lastKeyPart(v.fileKeys.spelling(list)))
		return
	}
	total := 0.0
	for i, c := range classes {
		prefix := fmt.Sprintf("%s.%d.", list, i)
		if c.Name == "" || strings.ContainsAny(c.Name, "/ ?#") {
			v.add(prefix+"name", "%q is not a path segment", c.Name)
		}
		if c.RetrySafety != settings.RetrySafe && c.RetrySafety != settings.RetryUnsafe {
			key := prefix + "retry_safety"
			given := v.fileWords(key, []string{c.RetrySafety})
			valid := v.fileWords(key, []string{settings.RetrySafe, settings.RetryUnsafe})
			v.add(key, "%q is neither %s nor %s", given[0], valid[0], valid[1])
		}
		v.within(prefix+"share", c.Share, 0, 1e6)
		v.within(prefix+"budget_ms", float64(c.BudgetMs), 1, maxLabMs)
		v.within(prefix+"units", c.Units, 0, maxUnits)
		total += c.Share
	}
	if !(total > 0) { // a NaN is invalid too
		v.add(list, "shares add up to %v, which is not above 0", total)
	}
}

// lastKeyPart returns the last part of a dotted key.
func lastKeyPart(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }
