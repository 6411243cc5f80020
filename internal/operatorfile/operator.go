// Package operatorfile reads the operators' own file: everything that the platform's JSON configuration does not
// carry, in TOML (BurntSushi/toml). Keys that nobody reads and values out of range are refused, each with its
// key and line, so that a typo never passes as a default. The file and every key are documented in
// docs/configuration.md; deploy/operator.toml is a commented example that passes the check.
package operatorfile

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// File is the whole operator file. The zero value is not valid; start from Default.
type File struct {
	Log      Log    `toml:"log"`
	Settings Shape  `toml:"settings"` // over the platform's settings
	Watch    Watch  `toml:"watch"`
	Duties   Duties `toml:"duties"`
	Quota    Quota  `toml:"quota"`
	Authz    Authz  `toml:"authz"`
	GRPC     GRPC   `toml:"grpc"`
	Lab      Lab    `toml:"lab"`
}

// Duties are the shared periodic duties (docs/duties.md): checks of app servers, each by one node of the fleet. They
// are done only where the platform's settings allow probes and peers, whatever stands here.
type Duties struct {
	On      bool    `toml:"on"`
	CheckMs float64 `toml:"check_ms"` // between two checks of one app server, ms; longer in a large fleet
	Bytes   float64 `toml:"bytes"`    // that this node sends for duties a second at most
}

// Log is how the program writes its structured log (zerolog, one JSON object a line on standard error).
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// Quota names a shared store that customers' quotas are leased from (docs/quota.md); without one each node keeps its own
// buckets.
type Quota struct {
	Store string  `toml:"store"` // host:port of a store that speaks Redis's protocol; empty for none
	Calls float64 `toml:"calls"` // exchanges a second that this node makes at most
}

// Authz names an external authoriser (docs/grpc.md) that each ticket is checked by before it is executed.
type Authz struct {
	Service  string   `toml:"service"`   // host:port of Envoy's Authorization service; empty for none
	Most     int      `toml:"most"`      // checks out at once
	PassOpen []string `toml:"pass_open"` // bands whose tickets pass where no answer comes; others are bounced
}

// GRPC is the front that takes tickets over gRPC.
type GRPC struct {
	Listen string `toml:"listen"` // host:port; empty for none
	Calls  int    `toml:"calls"`  // under way at once on one connection
}

// Lab holds the laboratory's defaults; flags of `cherrygap lab ...` hold over them.
type Lab struct {
	Seed     uint64   `toml:"seed"` // of every random draw in the lab; the same seed gives the same run
	Emulator Emulator `toml:"emulator"`
	Load     Traffic  `toml:"load"`
}

// Emulator describes the emulated app servers.
type Emulator struct {
	Listen      string  `toml:"listen"`       // loopback address of the first server; port 0 picks free ones
	Servers     int     `toml:"servers"`      // how many, 1 to 512
	Concurrency int     `toml:"concurrency"`  // tickets a server works on at once; more wait in its queue
	Queue       int     `toml:"queue"`        // tickets that may wait; past that it turns away (503, X-Rejected)
	Connections int     `toml:"connections"`  // connections it holds; further ones are reset
	ServiceMs   float64 `toml:"service_ms"`   // median service time of one unit, ms
	Spread      float64 `toml:"spread"`       // sigma of the log-normal service time
	HandshakeMs float64 `toml:"handshake_ms"` // added to the first request on a new connection, ms
	WarmupS     float64 `toml:"warmup_s"`     // a started server is slow for this long, s
	ColdFactor  float64 `toml:"cold_factor"`  // service time multiplier at the very start of warm-up
	IdleS       float64 `toml:"idle_s"`       // a connection idle for this long is closed, s
	DrainMs     float64 `toml:"drain_ms"`     // grace a draining server gives what it holds, ms
	Reports     bool    `toml:"reports"`      // answers carry X-Load-Report
	Probes      bool    `toml:"probes"`       // GET /healthz and GET /load answer; else 404
	Schedule    string  `toml:"schedule"`     // file of scripted faults; empty for none
}

// Traffic describes the open-loop load tool's traffic.
type Traffic struct {
	Target    string  `toml:"target"`     // loopback address of the edge node (or of a server)
	Rate      float64 `toml:"rate"`       // tickets a second, mean of a Poisson process
	DurationS float64 `toml:"duration_s"` // how long arrivals go on, s
	Customers int     `toml:"customers"`  // distinct customers, drawn by a Zipf law
	Skew      float64 `toml:"skew"`       // the Zipf law's s (above 1); larger is hotter
	BurstS    float64 `toml:"burst_s"`    // every so many seconds a burst starts; 0 for none
	BurstLenS float64 `toml:"burst_len_s"`
	BurstX    float64 `toml:"burst_x"` // rate multiplier during a burst
	AgainP    float64 `toml:"again_p"` // chance that a client whose ticket was bounced comes again
	Conns     int     `toml:"conns"`   // connections the tool may hold open at once
	Bands     []Band  `toml:"band"`    // what tickets are made of
	Plan      string  `toml:"plan"`    // X-Tariff of every customer
	Spread    int     `toml:"spread"`  // X-Weight spread: edge nodes in a customer's set
}

// Band is one kind of ticket in the load.
type Band struct {
	Name     string  `toml:"name"`      // the path's first part
	Repeats  string  `toml:"repeats"`   // replayable (GET) or single-use (POST)
	Share    float64 `toml:"share"`     // of arrivals; shares are normalised
	BudgetMs int     `toml:"budget_ms"` // X-Budget-Ms: how long the client waits
	Units    float64 `toml:"units"`     // X-Weight units
}

// Default is a file with every key at its documented default.
func Default() File {
	return File{
		Log:    Log{Level: "info"},
		Duties: Duties{CheckMs: 5000, Bytes: 4096},
		Quota:  Quota{Calls: 200},
		Authz:  Authz{Most: 64},
		GRPC:   GRPC{Calls: 256},
		Lab: Lab{
			Seed: 1,
			Emulator: Emulator{
				Listen: "127.0.0.1:0", Servers: 4, Concurrency: 8, Queue: 32, Connections: 64,
				ServiceMs: 20, Spread: 0.4, HandshakeMs: 2, WarmupS: 10, ColdFactor: 4, IdleS: 30, DrainMs: 2000,
				Reports: true, Probes: true,
			},
			Load: Traffic{
				Target: "127.0.0.1:8080", Rate: 200, DurationS: 10, Customers: 50, Skew: 1.2,
				BurstX: 1, AgainP: 0.5, Conns: 256, Plan: "team", Spread: 1,
				Bands: []Band{
					{Name: "seat-lookup", Repeats: "replayable", Share: 0.8, BudgetMs: 500, Units: 1},
					{Name: "seat-purchase", Repeats: "single-use", Share: 0.2, BudgetMs: 1500, Units: 3},
				},
			},
		},
	}
}

// Fault is one thing wrong in a file: its key, the line it is on (0 where unknown) and what is wrong.
type Fault struct {
	Key  string
	Line int
	What string
}

func (f Fault) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.What)
	}
	return fmt.Sprintf("%s: %s", f.Key, f.What)
}

// Faults is every fault of one file, in the order of their lines. It is the error Load returns.
type Faults struct {
	Path string
	List []Fault
}

func (e *Faults) Error() string {
	parts := make([]string, len(e.List))
	for i, f := range e.List {
		parts[i] = e.Path + ": " + f.String()
	}
	return strings.Join(parts, "\n")
}

// Load reads the file at path over the defaults. It returns *Faults when the file is read but wrong, and
// another error when it can't be read; either way the returned File is the defaults, so nothing is half set.
func Load(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Default(), err
	}
	f, faults := Parse(string(raw))
	if len(faults) > 0 {
		return Default(), &Faults{Path: path, List: faults}
	}
	return f, nil
}

// Parse reads a file's text over the defaults and returns it with every fault found, or the defaults when
// there is any.
func Parse(text string) (File, []Fault) {
	f := Default()
	given := f.Lab.Load.Bands
	f.Lab.Load.Bands = nil
	md, err := toml.Decode(text, &f)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return Default(), []Fault{{Key: "(syntax)", Line: pe.Position.Line, What: pe.Message}}
		}
		return Default(), []Fault{{Key: "(file)", What: err.Error()}}
	}
	if !md.IsDefined("lab", "load", "band") {
		f.Lab.Load.Bands = given
	}
	lines := locate(text)
	var faults []Fault
	for _, k := range md.Undecoded() {
		faults = append(faults, Fault{Key: k.String(), Line: lines.of(k.String()), What: "no such key"})
	}
	for _, v := range f.Check() {
		v.Line = lines.of(v.Key)
		faults = append(faults, v)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	if len(faults) > 0 {
		return Default(), faults
	}
	return f, nil
}

// Check tells each value out of its range, keys as in the file, lines not set. Parse calls it.
func (f *File) Check() []Fault {
	var out []Fault
	bad := func(key, what string, args ...any) {
		out = append(out, Fault{Key: key, What: fmt.Sprintf(what, args...)})
	}
	within := func(key string, v, lo, hi float64) {
		if !(v >= lo && v <= hi) { // also NaN
			bad(key, "%v is out of range %v to %v", v, lo, hi)
		}
	}
	switch f.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		bad("log.level", "%q is none of debug, info, warn, error", f.Log.Level)
	}
	f.Settings.check("settings", bad)
	f.Watch.Settings.check("watch.settings", bad)
	within("duties.check_ms", f.Duties.CheckMs, 200, 3.6e6)
	within("authz.most", float64(f.Authz.Most), 1, 1<<16)
	within("grpc.calls", float64(f.GRPC.Calls), 1, 1<<16)
	for key, addr := range map[string]string{"authz.service": f.Authz.Service, "grpc.listen": f.GRPC.Listen} {
		if _, err := netip.ParseAddrPort(addr); addr != "" && err != nil {
			bad(key, "%q is no address and port: %v", addr, err)
		}
	}
	within("quota.calls", f.Quota.Calls, 1, 1e6)
	if _, err := netip.ParseAddrPort(f.Quota.Store); f.Quota.Store != "" && err != nil {
		bad("quota.store", "%q is no address and port: %v", f.Quota.Store, err)
	}
	within("duties.bytes", f.Duties.Bytes, 512, 1e6)
	e := &f.Lab.Emulator
	loopback("lab.emulator.listen", e.Listen, bad)
	within("lab.emulator.servers", float64(e.Servers), 1, 512)
	within("lab.emulator.concurrency", float64(e.Concurrency), 1, 4096)
	within("lab.emulator.queue", float64(e.Queue), 0, 1<<16)
	within("lab.emulator.connections", float64(e.Connections), 1, 1<<16)
	within("lab.emulator.service_ms", e.ServiceMs, 0.01, 60000)
	within("lab.emulator.spread", e.Spread, 0, 3)
	within("lab.emulator.handshake_ms", e.HandshakeMs, 0, 10000)
	within("lab.emulator.warmup_s", e.WarmupS, 0, 3600)
	within("lab.emulator.cold_factor", e.ColdFactor, 1, 100)
	within("lab.emulator.idle_s", e.IdleS, 0.1, 3600)
	within("lab.emulator.drain_ms", e.DrainMs, 0, 600000)
	l := &f.Lab.Load
	loopback("lab.load.target", l.Target, bad)
	within("lab.load.rate", l.Rate, 0.01, 1e6)
	within("lab.load.duration_s", l.DurationS, 0.1, 86400)
	within("lab.load.customers", float64(l.Customers), 1, 1<<33)
	within("lab.load.skew", l.Skew, 1.0001, 10)
	within("lab.load.burst_s", l.BurstS, 0, 86400)
	within("lab.load.burst_len_s", l.BurstLenS, 0, 86400)
	within("lab.load.burst_x", l.BurstX, 1, 1000)
	within("lab.load.again_p", l.AgainP, 0, 1)
	within("lab.load.conns", float64(l.Conns), 1, 1<<16)
	within("lab.load.spread", float64(l.Spread), 1, 1024)
	if l.Plan == "" {
		bad("lab.load.plan", "is empty")
	}
	if len(l.Bands) == 0 {
		bad("lab.load.band", "no band is given")
	}
	total := 0.0
	for i, b := range l.Bands {
		key := fmt.Sprintf("lab.load.band.%d", i)
		if b.Name == "" || strings.ContainsAny(b.Name, "/ ?#") {
			bad(key+".name", "%q is no path part", b.Name)
		}
		if b.Repeats != "replayable" && b.Repeats != "single-use" {
			bad(key+".repeats", "%q is neither replayable nor single-use", b.Repeats)
		}
		within(key+".share", b.Share, 0, 1e6)
		within(key+".budget_ms", float64(b.BudgetMs), 1, 600000)
		within(key+".units", b.Units, 0, 1e9)
		total += b.Share
	}
	if len(l.Bands) > 0 && !(total > 0) {
		bad("lab.load.band", "shares add up to %v", total)
	}
	return out
}

// loopback refuses any address that is not on this machine's loopback: the lab sends traffic nowhere else.
func loopback(key, addr string, bad func(string, string, ...any)) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		bad(key, "%q is no address and port: %v", addr, err)
	} else if !ap.Addr().IsLoopback() {
		bad(key, "%s is not a loopback address", ap.Addr())
	}
}

// lines maps a dotted key to the line where it is set, from the text alone: a table header sets the prefix,
// an array-of-tables header counts its entries.
type lines map[string]int

var (
	header = regexp.MustCompile(`^\s*\[\s*([A-Za-z0-9_.\-]+)\s*\]`)
	array  = regexp.MustCompile(`^\s*\[\[\s*([A-Za-z0-9_.\-]+)\s*\]\]`)
	assign = regexp.MustCompile(`^\s*([A-Za-z0-9_\-]+)\s*=`)
)

func locate(text string) lines {
	out := lines{}
	prefix := ""
	seen := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		n := i + 1
		if m := array.FindStringSubmatch(line); m != nil {
			prefix = fmt.Sprintf("%s.%d", m[1], seen[m[1]])
			seen[m[1]]++
			out[m[1]], out[prefix] = n, n
		} else if m := header.FindStringSubmatch(line); m != nil {
			prefix = m[1]
			out[prefix] = n
		} else if m := assign.FindStringSubmatch(line); m != nil {
			key := m[1]
			if prefix != "" {
				key = prefix + "." + key
			}
			out[key] = n
		}
	}
	return out
}

// of is the line of key, or of the nearest table above it that is written, or 0.
func (l lines) of(key string) int {
	for k := key; k != ""; {
		if n, ok := l[k]; ok {
			return n
		}
		i := strings.LastIndexByte(k, '.')
		if i < 0 {
			break
		}
		k = k[:i]
	}
	return 0
}
