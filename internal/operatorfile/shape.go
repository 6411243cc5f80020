package operatorfile

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Shape holds settings of a deployment's shape: what the decision module reads, over what the platform's JSON says.
// A key that is not given leaves the platform's word as it is.
type Shape struct {
	Executions   *int     `toml:"executions"`     // most executions of a ticket
	Withdraw     *bool    `toml:"withdraw"`       // executions may be called back
	Peers        *bool    `toml:"peers"`          // nodes may write to each other
	PeersTake    *float64 `toml:"peers_take"`     // messages a second that a node takes in
	Advice       *bool    `toml:"advice"`         // a bounce may say when to come back
	AdviceMostMs *float64 `toml:"advice_most_ms"` // longest such advice, ms
	IdleMs       *float64 `toml:"idle_ms"`        // idle connections to app servers are closed after so long, ms
	ColdFrom     *float64 `toml:"cold_from"`      // least share of its capacity that a started app server has
	ColdMs       *float64 `toml:"cold_ms"`        // it is warm after so long at the latest, ms
	FallMultiple *float64 `toml:"fall_multiple"`  // sent more than so many times its present capacity
	FallMs       *float64 `toml:"fall_ms"`        // for so long it falls over, ms
	Bands        []Kind   `toml:"band"`
	Plans        []Plan   `toml:"plan"`
}

// Kind is one band, by the platform's name of it.
type Kind struct {
	Name       string   `toml:"name"`
	Repeats    *string  `toml:"repeats"`     // replayable, referenced or single-use
	Group      *string  `toml:"group"`       // referenced: which servers drop a repeat, all, zone or cell
	WindowMs   *float64 `toml:"window_ms"`   // referenced: for how long after the first send, ms
	ContractMs *float64 `toml:"contract_ms"` // an answer within it earns the whole gain, ms
}

// Plan is one plan, by the platform's name of it.
type Plan struct {
	Name         string   `toml:"name"`
	Rate         *float64 `toml:"rate"`          // quota, units a second; 0 for none
	Depth        *float64 `toml:"depth"`         // units that may be used at once
	Open         *int     `toml:"open"`          // executions out at once; 0 for no cap
	CeilingRate  *float64 `toml:"ceiling_rate"`  // hard ceiling, units a second; 0 for none
	CeilingDepth *float64 `toml:"ceiling_depth"` // units that it lets pass at once
}

// Watch is the mode in which the node decides as ever and counts where other settings would decide otherwise.
type Watch struct {
	On       bool  `toml:"on"`
	Settings Shape `toml:"settings"` // those, over the settings that the node decides by
}

const perMs = 10 // the module's time is in tenths of a millisecond

// write is one setting given: its key, its name in the module's settings, its value there.
type write struct {
	key, name, value string
	figure, lo, hi   float64
	words            []string // accepted, where it is a word
}

// writes lists what is given, whatever the numbers of bands and plans; number finds those by name.
func (s *Shape) writes(number func(list, name string) int) (out []write) {
	num := func(key, name string, v *float64, unit, lo, hi float64) {
		if v != nil {
			out = append(out, write{
				key: key, name: name, figure: *v, lo: lo, hi: hi,
				value: strconv.FormatFloat(*v*unit, 'f', -1, 64),
			})
		}
	}
	whole := func(key, name string, v *int, lo, hi float64) {
		if v != nil {
			f := float64(*v)
			num(key, name, &f, 1, lo, hi)
		}
	}
	yes := func(key, name string, v *bool) {
		if v != nil {
			out = append(out, write{key: key, name: name, value: strconv.FormatBool(*v), words: []string{"true", "false"}})
		}
	}
	word := func(key, name string, v *string, of ...string) {
		if v != nil {
			out = append(out, write{key: key, name: name, value: *v, words: of})
		}
	}
	const hour = 3.6e6 // ms
	whole("executions", "executions", s.Executions, 1, 100)
	yes("withdraw", "withdraw", s.Withdraw)
	yes("peers", "peers", s.Peers)
	num("peers_take", "peers.take", s.PeersTake, 1, 0, 1e6)
	yes("advice", "advice", s.Advice)
	num("advice_most_ms", "advice.most", s.AdviceMostMs, perMs, 0, hour)
	num("idle_ms", "idle", s.IdleMs, perMs, 0, hour)
	num("cold_from", "cold.from", s.ColdFrom, 1, 0.001, 1)
	num("cold_ms", "cold.span", s.ColdMs, perMs, 0, hour)
	num("fall_multiple", "fall.multiple", s.FallMultiple, 1, 0.1, 1000)
	num("fall_ms", "fall.span", s.FallMs, perMs, 1, hour)
	for i, b := range s.Bands {
		key, at := fmt.Sprintf("band.%d.", i), fmt.Sprintf("band.%d.", number("band", b.Name))
		word(key+"repeats", at+"repeats", b.Repeats, "replayable", "referenced", "single-use")
		word(key+"group", at+"group", b.Group, "all", "zone", "cell")
		num(key+"window_ms", at+"window", b.WindowMs, perMs, 0, hour)
		num(key+"contract_ms", at+"contract", b.ContractMs, perMs, 1, hour)
	}
	for i, p := range s.Plans {
		key, at := fmt.Sprintf("plan.%d.", i), fmt.Sprintf("plan.%d.", number("plan", p.Name))
		num(key+"rate", at+"rate", p.Rate, 1, 0, 1e9)
		num(key+"depth", at+"depth", p.Depth, 1, 0, 1e9)
		whole(key+"open", at+"open", p.Open, 0, 1e6)
		num(key+"ceiling_rate", at+"ceiling.rate", p.CeilingRate, 1, 0, 1e9)
		num(key+"ceiling_depth", at+"ceiling.depth", p.CeilingDepth, 1, 0, 1e9)
	}
	return out
}

// check tells each value that can't be, whatever the platform's names are.
func (s *Shape) check(prefix string, bad func(key, what string, args ...any)) {
	for _, w := range s.writes(func(string, string) int { return 0 }) {
		switch {
		case w.words != nil && !slices.Contains(w.words, w.value):
			bad(prefix+"."+w.key, "%q is none of %s", w.value, strings.Join(w.words, ", "))
		case w.words == nil && !(w.figure >= w.lo && w.figure <= w.hi): // also NaN
			bad(prefix+"."+w.key, "%v is out of range %v to %v", w.figure, w.lo, w.hi)
		}
	}
	seen := map[string]bool{}
	name := func(list string, i int, name string) {
		key := fmt.Sprintf("%s.%s.%d.name", prefix, list, i)
		if name == "" {
			bad(key, "is empty; it is the platform's name of the %s", list)
		} else if seen[list+name] {
			bad(key, "%q is given twice", name)
		}
		seen[list+name] = true
	}
	for i, b := range s.Bands {
		name("band", i, b.Name)
	}
	for i, p := range s.Plans {
		name("plan", i, p.Name)
	}
}

// Over is a copy of the module's settings with what is given written over it. A band or plan that the settings do
// not name is an error that tells which they do; then nothing is written.
func (s *Shape) Over(set map[string]string) (map[string]string, error) {
	out := maps.Clone(set)
	if out == nil {
		out = map[string]string{}
	}
	var err error
	number := func(list, name string) int {
		count, _ := strconv.Atoi(set[list+".count"])
		var names []string
		for i := range count {
			names = append(names, set[fmt.Sprintf("%s.%d.name", list, i)])
		}
		i := slices.Index(names, name)
		if i < 0 && err == nil {
			err = fmt.Errorf("%s %q: the platform's settings name %s", list, name, strings.Join(names, ", "))
		}
		return i
	}
	for _, w := range s.writes(number) {
		out[w.name] = w.value
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}
