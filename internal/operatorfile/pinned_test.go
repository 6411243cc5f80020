package operatorfile

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"cherrygap/internal/settings"
)

// The tests of this file hold the keys of the operator file, their defaults and what is said of a bad one to those of commit
// cf1acfb: files that operators have written go on to mean what they meant.

// pinned fails a case whose rendering is not the one written out.
func pinned(t *testing.T, name, got, want string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Helper()
		if got != want {
			t.Errorf("PIN\t%s\t%q\nwant %q", name, got, want)
		}
	})
}

// describeFile gives every value of a file but those of settings, of which describeSettings gives what they write.
func describeFile(f File) string {
	e, l := f.Lab.Emulator, f.Lab.Load
	s := fmt.Sprintf("log %s; watch %v; duties %v %v %v; quota %q %v; authz %q %d %q; grpc %q %d; seed %d; ", f.Log.Level, f.Shadow.Enabled, f.HealthChecks.Enabled,
		f.HealthChecks.IntervalMs, f.HealthChecks.MaxBytesPerS, f.Quota.Store, f.Quota.MaxCallsPerS, f.Authz.Service, f.Authz.MaxInFlight, f.Authz.FailOpen, f.GRPC.Listen,
		f.GRPC.MaxCalls, f.Lab.Seed)
	s += fmt.Sprintf("emulator %q %d %d %d %d %v %v %v %v %v %v %v %v %v %q; ", e.Listen, e.Servers, e.Concurrency, e.Queue, e.Connections,
		e.ServiceMs, e.Spread, e.HandshakeMs, e.WarmupS, e.WarmupFactor, e.IdleS, e.DrainMs, e.LoadReports, e.HealthChecks, e.Schedule)
	s += fmt.Sprintf("load %q %v %v %d %v %v %v %v %v %d %q %d", l.Target, l.Rate, l.DurationS, l.Customers, l.Skew, l.BurstS, l.BurstLenS,
		l.BurstX, l.RetryProbability, l.Connections, l.Plan, l.Spread)
	for _, b := range l.Classes {
		s += fmt.Sprintf(" {%q %s %v %d %v}", b.Name, b.RetrySafety, b.Share, b.BudgetMs, b.Units)
	}
	return s
}

// describeSettings gives what a part of the file writes over settings that name two classes and a plan.
func describeSettings(s *SettingsOverride) string {
	off := settings.Values{
		settings.ClassCount: "2", settings.ClassKey(0, settings.ClassName): "seats", settings.ClassKey(1, settings.ClassName): "buy",
		settings.PlanCount: "1", settings.PlanKey(0, settings.PlanName): "team",
	}
	on := maps.Clone(off)
	for _, key := range []string{
		settings.Hedging, settings.CancelAttempts, settings.HealthChecks, settings.Peers, settings.RetryAfter,
		settings.EstimatedUnits, settings.ClassKey(0, settings.ClassStreaming), settings.ClassKey(1, settings.ClassStreaming),
	} {
		on[key] = settings.On
	}
	fromOff, err := s.Apply(settings.Parse(off))
	if err != nil {
		return "error " + err.Error()
	}
	fromOn, err := s.Apply(settings.Parse(on))
	if err != nil {
		return "error " + err.Error()
	}
	got, texts, whenOn := "", settingTexts(fromOff), settingTexts(fromOn)
	for _, key := range slices.Sorted(maps.Keys(texts)) {
		isName := strings.HasSuffix(key, ".count") || strings.HasSuffix(key, ".name")
		written := texts[key] != "" && texts[key] == whenOn[key] // a switch that is not written is as it was before
		if written && !isName {
			got += fmt.Sprintf("%s=%s;", key, texts[key])
		}
	}
	return got
}

// settingTexts gives every field of settings, with two classes and two plans, by its key.
func settingTexts(s *settings.Settings) map[string]string {
	texts := map[string]string{
		settings.Node: s.Node.String(), settings.Nodes: s.Nodes.String(), settings.Tick: s.Tick.String(),
		settings.EndpointList: string(s.EndpointList), settings.PollWithin: s.PollWithin.String(),
		settings.LoadReportFields:  strings.Join(s.LoadReportFields, ","),
		settings.LoadReportChannel: s.LoadReportChannel, settings.MaxAttempts: s.MaxAttempts.String(),
		settings.Hedging: strconv.FormatBool(s.Hedging), settings.CancelAttempts: strconv.FormatBool(s.CancelAttempts),
		settings.HealthChecks: strconv.FormatBool(s.HealthChecks), settings.Peers: strconv.FormatBool(s.Peers),
		settings.PeerRate: s.PeerRate.String(), settings.RetryAfter: strconv.FormatBool(s.RetryAfter),
		settings.MaxRetryAfter: s.MaxRetryAfter.String(), settings.MaxRequests: s.MaxRequests.String(),
		settings.IdleTimeout: s.IdleTimeout.String(), settings.ConnectTimeout: s.ConnectTimeout.String(),
		settings.SlowStartSpan: s.SlowStartSpan.String(), settings.SlowStartShare: s.SlowStartShare.String(),
		settings.OverloadMultiple: s.OverloadMultiple.String(), settings.OverloadSpan: s.OverloadSpan.String(),
		settings.DrainGrace: s.DrainGrace.String(), settings.ResponseSlack: s.ResponseSlack.String(),
		settings.EstimatedUnits: strconv.FormatBool(s.EstimatedUnits), settings.MaxUnits: s.MaxUnits.String(),
		settings.ClassCount: s.Classes.Count.String(), settings.PlanCount: s.Plans.Count.String(),
	}
	for i := range 2 {
		c, p := s.Classes.At(i), s.Plans.At(i)
		maps.Copy(texts, map[string]string{
			settings.ClassKey(i, settings.ClassName):              c.Name,
			settings.ClassKey(i, settings.ClassRetrySafety):       string(c.RetrySafety),
			settings.ClassKey(i, settings.ClassLatencyObjective):  c.LatencyObjective.String(),
			settings.ClassKey(i, settings.ClassDeadline):          c.Deadline.String(),
			settings.ClassKey(i, settings.ClassIdempotencyGroup):  string(c.IdempotencyGroup),
			settings.ClassKey(i, settings.ClassIdempotencyWindow): c.IdempotencyWindow.String(),
			settings.ClassKey(i, settings.ClassPriorityWeight):    c.PriorityWeight.String(),
			settings.ClassKey(i, settings.ClassLateShare):         c.LateShare.String(),
			settings.ClassKey(i, settings.ClassStreaming):         strconv.FormatBool(c.Streaming),
			settings.ClassKey(i, settings.ClassObjectiveStretch):  c.ObjectiveStretch.String(),
			settings.PlanKey(i, settings.PlanName):                p.Name,
			settings.PlanKey(i, settings.PlanRate):                p.Rate.String(),
			settings.PlanKey(i, settings.PlanBurst):               p.Burst.String(),
			settings.PlanKey(i, settings.PlanMaxInFlight):         p.MaxInFlight.String(),
			settings.PlanKey(i, settings.PlanPriorityFactor):      p.PriorityFactor.String(),
			settings.PlanKey(i, settings.PlanOverQuotaShare):      p.OverQuotaShare.String(),
			settings.PlanKey(i, settings.PlanOverQuotaCost):       p.OverQuotaCost.String(),
			settings.PlanKey(i, settings.PlanCeilingRate):         p.CeilingRate.String(),
			settings.PlanKey(i, settings.PlanCeilingBurst):        p.CeilingBurst.String(),
			settings.PlanKey(i, settings.PlanCeilingSlack):        p.CeilingSlack.String(),
		})
	}
	return texts
}

func TestPinnedDefaults(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"of the program", describeFile(Default()), "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3}"},
		{"of its settings", describeSettings(&SettingsOverride{}), ""},
	} {
		pinned(t, c.name, c.got, c.want)
	}
	f, errs := Parse("")
	if len(errs) > 0 || describeFile(f) != describeFile(Default()) {
		t.Errorf("an empty file gives %v, %v", describeFile(f), errs)
	}
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, errs := Parse(string(raw)); len(errs) > 0 || describeFile(f) != describeFile(Default()) ||
		describeSettings(&f.Settings) != "" || describeSettings(&f.Shadow.Settings) != "" {
		t.Errorf("the shipped file gives %v, %v", describeFile(f), errs)
	}
}

const fullFile = `[log]
level = "debug"
[settings]
executions = 3
withdraw = true
peers = false
peers_take = 60.5
advice = true
advice_most_ms = 2000.0
idle_ms = 30000
cold_from = 0.25
cold_ms = 1500.5
fall_multiple = 3.0
fall_ms = 2000
[[settings.band]]
name = "buy"
repeats = "referenced"
group = "cell"
window_ms = 3000
contract_ms = 800
[[settings.plan]]
name = "team"
rate = 12.5
depth = 40
open = 2
ceiling_rate = 25.5
ceiling_depth = 80
[watch]
on = true
[watch.settings]
executions = 2
[[watch.settings.band]]
name = "seats"
repeats = "single-use"
[[watch.settings.plan]]
name = "team"
open = 0
[duties]
on = true
check_ms = 4000
bytes = 2048
[quota]
store = "10.2.0.6:6379"
calls = 100
[authz]
service = "10.2.0.7:9191"
most = 32
pass_open = ["seats", "buy"]
[grpc]
listen = "10.0.0.4:9500"
calls = 128
[lab]
seed = 9223372036854775807
[lab.emulator]
listen = "[::1]:9000"
servers = 5
concurrency = 9
queue = 33
connections = 65
service_ms = 21
spread = 0.5
handshake_ms = 3
warmup_s = 11
cold_factor = 5
idle_s = 31
drain_ms = 2001
reports = false
probes = false
schedule = "faults.toml"
[lab.load]
target = "127.0.0.2:8081"
rate = 201
duration_s = 11
customers = 51
skew = 1.3
burst_s = 5
burst_len_s = 1
burst_x = 2
again_p = 0.6
conns = 257
plan = "pro"
spread = 2
[[lab.load.band]]
name = "a"
repeats = "replayable"
share = 0.7
budget_ms = 501
units = 2
[[lab.load.band]]
name = "b"
repeats = "single-use"
share = 0.3
budget_ms = 502
`

func TestPinnedKeys(t *testing.T) {
	f, errs := Parse(fullFile)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	for _, c := range []struct{ name, got, want string }{
		{"file", describeFile(f), "log debug; watch true; duties true 4000 2048; quota \"10.2.0.6:6379\" 100; authz \"10.2.0.7:9191\" 32 [\"seats\" \"buy\"]; grpc \"10.0.0.4:9500\" 128; seed 9223372036854775807; emulator \"[::1]:9000\" 5 9 33 65 21 0.5 3 11 5 31 2001 false false \"faults.toml\"; load \"127.0.0.2:8081\" 201 11 51 1.3 5 1 2 0.6 257 \"pro\" 2 {\"a\" safe 0.7 501 2} {\"b\" unsafe 0.3 502 0}"},
		{"settings", describeSettings(&f.Settings), "cancel_attempts=true;class.1.idempotency_group=cell;class.1.idempotency_window=30000;class.1.latency_objective=8000;class.1.retry_safety=keyed;idle_timeout=300000;max_attempts=3;max_retry_after=20000;overload_multiple=3;overload_span=20000;peer_messages_per_s=60.5;peers=false;plan.0.burst=40;plan.0.ceiling_burst=80;plan.0.ceiling_rate=25.5;plan.0.max_in_flight=2;plan.0.rate=12.5;retry_after=true;slow_start_share=0.25;slow_start_span=15005;"},
		{"watched settings", describeSettings(&f.Shadow.Settings), "class.0.retry_safety=unsafe;max_attempts=2;plan.0.max_in_flight=0;"},
	} {
		pinned(t, c.name, c.got, c.want)
	}
}

func TestPinnedForms(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"dotted keys", "duties.on = true\nquota = {store = \"1.2.3.4:5\", calls = 7}\nlab.load.band = [{name = \"x\", repeats = \"replayable\", share = 1, budget_ms = 5}]\n", "log info; watch false; duties true 5000 4096; quota \"1.2.3.4:5\" 7; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"x\" safe 1 5 0} |  | "},
		{"names in other letters", "[DUTIES]\nON = true\nCheck_Ms = 4000\n[Lab.Load]\nRATE = 5\n", "log info; watch false; duties true 4000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 5 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"a band replaces all", "[[lab.load.band]]\nname = \"only\"\nrepeats = \"replayable\"\nshare = 1.0\nbudget_ms = 100\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"only\" safe 1 100 0} |  | "},
		{"integers for floats", "[quota]\ncalls = 5\n[lab.load]\nrate = 7\n", "log info; watch false; duties false 5000 4096; quota \"\" 5; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 7 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"empty tables", "[settings]\n[watch]\n[watch.settings]\n[duties]\n[quota]\n[authz]\n[grpc]\n[lab]\n[lab.emulator]\n[lab.load]\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"empty list", "[authz]\npass_open = []\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"watched, not on", "[watch.settings]\nexecutions = 2\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | max_attempts=2;"},
		{"seed below 0", "[lab]\nseed = -1\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 18446744073709551615; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
	} {
		f, errs := Parse(c.text)
		if len(errs) > 0 {
			t.Errorf("%s: %v", c.name, errs)
		}
		pinned(t, c.name, describeFile(f)+" | "+describeSettings(&f.Settings)+" | "+describeSettings(&f.Shadow.Settings), c.want)
	}
}

// describeErrors gives errors as the program prints them, a line each.
func describeErrors(errs []KeyError) string {
	parts := make([]string, len(errs))
	for i, f := range errs {
		parts[i] = f.Error()
	}
	return strings.Join(parts, "\n")
}

var pinnedErrors = []struct{ name, text, want string }{
	{"log.level", "[log]\nlevel = \"loud\"\n", "line 2: log.level: \"loud\" is none of debug, info, warn, error"},
	{"settings.executions", "[settings]\nexecutions = 0\n", "line 2: settings.executions: 0 is out of range 1 to 100"},
	{"settings.executions high", "[settings]\nexecutions = 101\n", "line 2: settings.executions: 101 is out of range 1 to 100"},
	{"settings.executions float", "[settings]\nexecutions = 1.5\n", "(file): toml: line 2 (last key \"settings.executions\"): incompatible types: TOML value has type float64; destination has type integer"},
	{"settings.withdraw", "[settings]\nwithdraw = \"yes\"\n", "(file): toml: line 2 (last key \"settings.withdraw\"): incompatible types: TOML value has type string; destination has type boolean"},
	{"settings.peers", "[settings]\npeers = 1\n", "(file): toml: line 2 (last key \"settings.peers\"): incompatible types: TOML value has type int64; destination has type boolean"},
	{"settings.peers_take", "[settings]\npeers_take = -1.0\n", "line 2: settings.peers_take: -1 is out of range 0 to 1e+06"},
	{"settings.advice", "[settings]\nadvice = 1\n", "(file): toml: line 2 (last key \"settings.advice\"): incompatible types: TOML value has type int64; destination has type boolean"},
	{"settings.advice_most_ms", "[settings]\nadvice_most_ms = 3.7e6\n", "line 2: settings.advice_most_ms: 3.7e+06 is out of range 0 to 3.6e+06"},
	{"settings.idle_ms", "[settings]\nidle_ms = -1.0\n", "line 2: settings.idle_ms: -1 is out of range 0 to 3.6e+06"},
	{"settings.cold_from", "[settings]\ncold_from = 1.5\n", "line 2: settings.cold_from: 1.5 is out of range 0.001 to 1"},
	{"settings.cold_ms", "[settings]\ncold_ms = -0.5\n", "line 2: settings.cold_ms: -0.5 is out of range 0 to 3.6e+06"},
	{"settings.fall_multiple", "[settings]\nfall_multiple = 0.0\n", "line 2: settings.fall_multiple: 0 is out of range 0.1 to 1000"},
	{"settings.fall_ms", "[settings]\nfall_ms = 0.5\n", "line 2: settings.fall_ms: 0.5 is out of range 1 to 3.6e+06"},
	{"settings.band.name", "[[settings.band]]\nrepeats = \"replayable\"\n", "line 1: settings.band.0.name: is empty; it is the platform's name of the band"},
	{"settings.band.name twice", "[[settings.band]]\nname = \"a\"\n[[settings.band]]\nname = \"a\"\n", "line 4: settings.band.1.name: \"a\" is given twice"},
	{"settings.band.repeats", "[[settings.band]]\nname = \"a\"\nrepeats = \"twice\"\n", "line 3: settings.band.0.repeats: \"twice\" is none of replayable, referenced, single-use"},
	{"settings.band.group", "[[settings.band]]\nname = \"a\"\ngroup = \"hall\"\n", "line 3: settings.band.0.group: \"hall\" is none of all, zone, cell"},
	{"settings.band.window_ms", "[[settings.band]]\nname = \"a\"\nwindow_ms = -1\n", "line 3: settings.band.0.window_ms: -1 is out of range 0 to 3.6e+06"},
	{"settings.band.contract_ms", "[[settings.band]]\nname = \"a\"\ncontract_ms = 0\n", "line 3: settings.band.0.contract_ms: 0 is out of range 1 to 3.6e+06"},
	{"settings.plan.name", "[[settings.plan]]\nrate = 1.0\n", "line 1: settings.plan.0.name: is empty; it is the platform's name of the plan"},
	{"settings.plan.name twice", "[[settings.plan]]\nname = \"a\"\n[[settings.plan]]\nname = \"a\"\n", "line 4: settings.plan.1.name: \"a\" is given twice"},
	{"settings.plan.rate", "[[settings.plan]]\nname = \"a\"\nrate = nan\n", "line 3: settings.plan.0.rate: NaN is out of range 0 to 1e+09"},
	{"settings.plan.depth", "[[settings.plan]]\nname = \"a\"\ndepth = -1\n", "line 3: settings.plan.0.depth: -1 is out of range 0 to 1e+09"},
	{"settings.plan.open", "[[settings.plan]]\nname = \"a\"\nopen = -1\n", "line 3: settings.plan.0.open: -1 is out of range 0 to 1e+06"},
	{"settings.plan.ceiling_rate", "[[settings.plan]]\nname = \"a\"\nceiling_rate = inf\n", "line 3: settings.plan.0.ceiling_rate: +Inf is out of range 0 to 1e+09"},
	{"settings.plan.ceiling_depth", "[[settings.plan]]\nname = \"a\"\nceiling_depth = 2e9\n", "line 3: settings.plan.0.ceiling_depth: 2e+09 is out of range 0 to 1e+09"},
	{"watch.on", "[watch]\non = 1\n", "(file): toml: line 2 (last key \"watch.on\"): incompatible types: TOML value has type int64; destination has type boolean"},
	{"watch.settings.cold_from", "[watch.settings]\ncold_from = 1.5\n", "line 2: watch.settings.cold_from: 1.5 is out of range 0.001 to 1"},
	{"watch.settings.band", "[[watch.settings.band]]\nname = \"a\"\nwindow_ms = 1e9\n", "line 3: watch.settings.band.0.window_ms: 1e+09 is out of range 0 to 3.6e+06"},
	{"duties.on", "[duties]\non = \"true\"\n", "(file): toml: line 2 (last key \"duties.on\"): incompatible types: TOML value has type string; destination has type boolean"},
	{"duties.check_ms", "[duties]\ncheck_ms = 199.0\n", "line 2: duties.check_ms: 199 is out of range 200 to 3.6e+06"},
	{"duties.bytes", "[duties]\nbytes = 511.0\n", "line 2: duties.bytes: 511 is out of range 512 to 1e+06"},
	{"quota.store", "[quota]\nstore = \"redis:6379\"\n", "line 2: quota.store: \"redis:6379\" is no address and port: ParseAddr(\"redis\"): unable to parse IP"},
	{"quota.calls", "[quota]\ncalls = 0.5\n", "line 2: quota.calls: 0.5 is out of range 1 to 1e+06"},
	{"authz.service", "[authz]\nservice = \"here\"\n", "line 2: authz.service: \"here\" is no address and port: not an ip:port"},
	{"authz.most", "[authz]\nmost = 0\n", "line 2: authz.most: 0 is out of range 1 to 65536"},
	{"authz.pass_open", "[authz]\npass_open = \"seats\"\n", "(file): toml: line 2 (last key \"authz.pass_open\"): incompatible types: TOML value has type string; destination has type slice"},
	{"grpc.listen", "[grpc]\nlisten = \":9500\"\n", "line 2: grpc.listen: \":9500\" is no address and port: no IP"},
	{"grpc.calls", "[grpc]\ncalls = 65537\n", "line 2: grpc.calls: 65537 is out of range 1 to 65536"},
	{"lab.emulator.listen", "[lab.emulator]\nlisten = \"10.0.0.1:80\"\n", "line 2: lab.emulator.listen: 10.0.0.1 is not a loopback address"},
	{"lab.emulator.listen no address", "[lab.emulator]\nlisten = \"localhost:80\"\n", "line 2: lab.emulator.listen: \"localhost:80\" is no address and port: ParseAddr(\"localhost\"): unable to parse IP"},
	{"lab.emulator.servers", "[lab.emulator]\nservers = 0\n", "line 2: lab.emulator.servers: 0 is out of range 1 to 512"},
	{"lab.emulator.concurrency", "[lab.emulator]\nconcurrency = 0\n", "line 2: lab.emulator.concurrency: 0 is out of range 1 to 4096"},
	{"lab.emulator.queue", "[lab.emulator]\nqueue = -1\n", "line 2: lab.emulator.queue: -1 is out of range 0 to 65536"},
	{"lab.emulator.connections", "[lab.emulator]\nconnections = 0\n", "line 2: lab.emulator.connections: 0 is out of range 1 to 65536"},
	{"lab.emulator.service_ms", "[lab.emulator]\nservice_ms = 0.0\n", "line 2: lab.emulator.service_ms: 0 is out of range 0.01 to 60000"},
	{"lab.emulator.spread", "[lab.emulator]\nspread = 3.5\n", "line 2: lab.emulator.spread: 3.5 is out of range 0 to 3"},
	{"lab.emulator.handshake_ms", "[lab.emulator]\nhandshake_ms = -1\n", "line 2: lab.emulator.handshake_ms: -1 is out of range 0 to 10000"},
	{"lab.emulator.warmup_s", "[lab.emulator]\nwarmup_s = 3601\n", "line 2: lab.emulator.warmup_s: 3601 is out of range 0 to 3600"},
	{"lab.emulator.cold_factor", "[lab.emulator]\ncold_factor = 0.5\n", "line 2: lab.emulator.cold_factor: 0.5 is out of range 1 to 100"},
	{"lab.emulator.idle_s", "[lab.emulator]\nidle_s = 0\n", "line 2: lab.emulator.idle_s: 0 is out of range 0.1 to 3600"},
	{"lab.emulator.drain_ms", "[lab.emulator]\ndrain_ms = 600001\n", "line 2: lab.emulator.drain_ms: 600001 is out of range 0 to 600000"},
	{"lab.emulator.reports", "[lab.emulator]\nreports = 1\n", "(file): toml: line 2 (last key \"lab.emulator.reports\"): incompatible types: TOML value has type int64; destination has type boolean"},
	{"lab.emulator.probes", "[lab.emulator]\nprobes = 1\n", "(file): toml: line 2 (last key \"lab.emulator.probes\"): incompatible types: TOML value has type int64; destination has type boolean"},
	{"lab.emulator.schedule", "[lab.emulator]\nschedule = 1\n", "(file): toml: line 2 (last key \"lab.emulator.schedule\"): incompatible types: TOML value has type int64; destination has type string"},
	{"lab.load.target", "[lab.load]\ntarget = \"10.0.0.1:80\"\n", "line 2: lab.load.target: 10.0.0.1 is not a loopback address"},
	{"lab.load.rate", "[lab.load]\nrate = -1\n", "line 2: lab.load.rate: -1 is out of range 0.01 to 1e+06"},
	{"lab.load.duration_s", "[lab.load]\nduration_s = 0\n", "line 2: lab.load.duration_s: 0 is out of range 0.1 to 86400"},
	{"lab.load.customers", "[lab.load]\ncustomers = 0\n", "line 2: lab.load.customers: 0 is out of range 1 to 8.589934592e+09"},
	{"lab.load.skew", "[lab.load]\nskew = 1\n", "line 2: lab.load.skew: 1 is out of range 1.0001 to 10"},
	{"lab.load.burst_s", "[lab.load]\nburst_s = -1\n", "line 2: lab.load.burst_s: -1 is out of range 0 to 86400"},
	{"lab.load.burst_len_s", "[lab.load]\nburst_len_s = -1\n", "line 2: lab.load.burst_len_s: -1 is out of range 0 to 86400"},
	{"lab.load.burst_x", "[lab.load]\nburst_x = 0\n", "line 2: lab.load.burst_x: 0 is out of range 1 to 1000"},
	{"lab.load.again_p", "[lab.load]\nagain_p = 1.1\n", "line 2: lab.load.again_p: 1.1 is out of range 0 to 1"},
	{"lab.load.conns", "[lab.load]\nconns = 0\n", "line 2: lab.load.conns: 0 is out of range 1 to 65536"},
	{"lab.load.plan", "[lab.load]\nplan = \"\"\n", "line 2: lab.load.plan: is empty"},
	{"lab.load.spread", "[lab.load]\nspread = 0\n", "line 2: lab.load.spread: 0 is out of range 1 to 1024"},
	{"lab.load.band", "[lab.load]\nband = []\n", "line 2: lab.load.band: no band is given"},
	{"lab.load.band.name", "[[lab.load.band]]\nname = \"a/b\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\n", "line 2: lab.load.band.0.name: \"a/b\" is no path part"},
	{"lab.load.band.repeats", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"referenced\"\nshare = 1\nbudget_ms = 1\n", "line 3: lab.load.band.0.repeats: \"referenced\" is neither replayable nor single-use"},
	{"lab.load.band.share", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = -1\nbudget_ms = 1\n", "line 1: lab.load.band: shares add up to -1\nline 4: lab.load.band.0.share: -1 is out of range 0 to 1e+06"},
	{"lab.load.band.share 0", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nbudget_ms = 1\n", "line 1: lab.load.band: shares add up to 0"},
	{"lab.load.band.budget_ms", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = 1\n", "line 1: lab.load.band.0.budget_ms: 0 is out of range 1 to 600000"},
	{"lab.load.band.units", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\nunits = -1\n", "line 6: lab.load.band.0.units: -1 is out of range 0 to 1e+09"},
	{"unknown table", "[dutys]\non = true\n", "line 1: dutys: no such key\nline 2: dutys.on: no such key"},
	{"unknown keys everywhere", "new = 1\n[log]\nnew = 1\n[settings]\nnew = 1\n[[settings.band]]\nname = \"a\"\nnew = 1\n[[settings.plan]]\nname = \"a\"\nnew = 1\n[watch]\nnew = 1\n[duties]\nnew = 1\n[quota]\nnew = 1\n[authz]\nnew = 1\n[grpc]\nnew = 1\n[lab]\nnew = 1\n[lab.emulator]\nnew = 1\n[lab.load]\nnew = 1\n[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\nnew = 1\n", "line 1: new: no such key\nline 3: log.new: no such key\nline 5: settings.new: no such key\nline 6: settings.band.new: no such key\nline 9: settings.plan.new: no such key\nline 13: watch.new: no such key\nline 15: duties.new: no such key\nline 17: quota.new: no such key\nline 19: authz.new: no such key\nline 21: grpc.new: no such key\nline 23: lab.new: no such key\nline 25: lab.emulator.new: no such key\nline 27: lab.load.new: no such key\nline 28: lab.load.band.new: no such key"},
	{"unknown key in a dotted line", "duties.new = 1\n", "duties.new: no such key"},
	{"a table for a key", "[log.level]\nx = 1\n", "(file): toml: line 1 (last key \"log.level\"): incompatible types: TOML value has type map[string]any; destination has type string"},
	{"given twice", "[log]\nlevel = \"info\"\nlevel = \"info\"\n", "line 3: (syntax): Key 'log.level' has already been defined."},
	{"no value", "[log]\nlevel = \"info\"\nseed = = 3\n", "line 3: (syntax): expected value but found '=' instead"},
	{"many", "[log]\nlevel = \"loud\"\n\n[lab.emulator]\nservers = 0\ncolour = 3\nlisten = \"10.0.0.1:80\"\n[[lab.load.band]]\nname = \"a\"\nrepeats = \"twice\"\n", "line 2: log.level: \"loud\" is none of debug, info, warn, error\nline 5: lab.emulator.servers: 0 is out of range 1 to 512\nline 6: lab.emulator.colour: no such key\nline 7: lab.emulator.listen: 10.0.0.1 is not a loopback address\nline 8: lab.load.band.0.budget_ms: 0 is out of range 1 to 600000\nline 8: lab.load.band: shares add up to 0\nline 10: lab.load.band.0.repeats: \"twice\" is neither replayable nor single-use"},
}

func TestPinnedErrors(t *testing.T) {
	for _, c := range pinnedErrors {
		f, errs := Parse(c.text)
		if len(errs) == 0 || describeFile(f) != describeFile(Default()) || describeSettings(&f.Settings) != "" {
			t.Errorf("%s: %d errors, and the file is not the defaults: %v", c.name, len(errs), describeFile(f))
		}
		pinned(t, c.name, describeErrors(errs), c.want)
	}
}

// What is said of a key in a table's place names the Go type, which may change.
func TestPinnedErrorOfATable(t *testing.T) {
	_, errs := Parse("duties = true\n")
	if len(errs) != 1 || errs[0].Key != "(file)" || !strings.HasPrefix(errs[0].Reason, `toml: line 1 (last key "duties"): type mismatch for `) ||
		!strings.HasSuffix(errs[0].Reason, ": expected table but found bool") {
		t.Error(errs)
	}
}

// Two addresses without a line of their own, in any order: their errs come from a map.
func TestPinnedErrorsOfFlags(t *testing.T) {
	f := Default()
	f.Authz.Service, f.GRPC.Listen, f.Lab.Load.Rate, f.Log.Level = "a", "b", 0, ""
	errs := f.Validate()
	slices.SortFunc(errs, func(a, b KeyError) int { return strings.Compare(a.Key, b.Key) })
	pinned(t, "flags", describeErrors(errs), `authz.service: "a" is no address and port: not an ip:port
grpc.listen: "b" is no address and port: not an ip:port
lab.load.rate: 0 is out of range 0.01 to 1e+06
log.level: "" is none of debug, info, warn, error`)
}

func TestPinnedFileError(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("[lab.load]\nrate = -1\nnew = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(bad)
	var errs *FileError
	if !errors.As(err, &errs) || errs.Path != bad || len(errs.Errors) != 2 || describeFile(f) != describeFile(Default()) {
		t.Fatalf("%v, %v", describeFile(f), err)
	}
	pinned(t, "errors", err.Error(), bad+": line 2: lab.load.rate: -1 is out of range 0.01 to 1e+06\n"+bad+": line 3: lab.load.new: no such key")
	f, err = Load(filepath.Join(dir, "none.toml"))
	if !errors.Is(err, os.ErrNotExist) || describeFile(f) != describeFile(Default()) {
		t.Errorf("%v, %v", describeFile(f), err)
	}
	word := "all"
	for _, c := range []struct{ name, got, want string }{
		{"unknown band", describeSettings(&SettingsOverride{Classes: []ClassOverride{{Name: "x", Group: &word}}}), "error band \"x\": the platform's settings name seats, buy"},
		{"unknown plan", describeSettings(&SettingsOverride{Plans: []PlanOverride{{Name: "y"}}, Classes: []ClassOverride{{Name: "x"}}}), "error band \"x\": the platform's settings name seats, buy"},
	} {
		pinned(t, c.name, c.got, c.want)
	}
}
