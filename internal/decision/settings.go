package decision

import (
	"strconv"
	"strings"
)

// Settings are the figures handed over at start, by name.
type Settings map[string]string

// Number is a number, 0 where the name is missing.
func (s Settings) Number(name string) float64 {
	v, err := strconv.ParseFloat(s[name], 64)
	if err != nil {
		return 0
	}
	return v
}

// Duration is a stretch of time.
func (s Settings) Duration(name string) Time { return Time(s.Number(name)) }

// Enabled tells whether a setting is on.
func (s Settings) Enabled(name string) bool { return s[name] == "true" }

// Key names a field of the i-th band or plan.
func (s Settings) Key(list string, i int, field string) string {
	return list + "." + strconv.Itoa(i) + "." + field
}

// Words is a list of words.
func (s Settings) Words(name string) []string {
	if s[name] == "" {
		return nil
	}
	return strings.Split(s[name], ",")
}

// retrySafety is what a band allows.
type retrySafety uint8

const (
	retrySafe retrySafety = iota
	retryKeyed
	retryNever
)

// requestClass is a band's settings and what was seen of its work.
type requestClass struct {
	latencyObjective, keyWindow Time
	retrySafety                 retrySafety
	keyGroup                    string       // referenced: all, zone or cell
	latency                     decayingMean // completed latencies
	peerSuspicion               decayingMean // peers' words of misses
	trialBudget                 float64      // trials at rested servers that it may spend
}

// quotaPlan is a plan's settings.
type quotaPlan struct {
	rate, burst               float64
	maxInFlight               int
	ceilingRate, ceilingBurst float64
}

// readClasses reads the bands; one whose repeats are not known is never run twice.
func readClasses(set Settings) (out []requestClass) {
	for i := range max(1, int(set.Number("band.count"))) {
		b := requestClass{
			latencyObjective: set.Duration(set.Key("band", i, "contract")), keyWindow: set.Duration(set.Key("band", i, "window")),
			keyGroup: set[set.Key("band", i, "group")], retrySafety: retryNever,
		}
		switch set[set.Key("band", i, "repeats")] {
		case "referenced":
			b.retrySafety = retryKeyed
		case "replayable":
			b.retrySafety = retrySafe
		}
		b.latencyObjective = max(b.latencyObjective, 1)
		out = append(out, b)
	}
	return out
}

func readPlans(set Settings) (out []quotaPlan) {
	for i := range max(1, int(set.Number("plan.count"))) {
		f := func(name string) float64 { return set.Number(set.Key("plan", i, name)) }
		out = append(out, quotaPlan{
			rate: f("rate"), burst: f("depth"), maxInFlight: int(f("open")),
			ceilingRate: f("ceiling.rate"), ceilingBurst: f("ceiling.depth"),
		})
	}
	return out
}
