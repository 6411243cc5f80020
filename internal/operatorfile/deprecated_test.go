package operatorfile

import (
	"strings"
	"testing"
)

// standardFile has every key under its standard name, with the values of deprecatedFile.
const standardFile = `[log]
level = "debug"
[settings]
max_attempts = 3
cancel_attempts = true
peers = false
peer_messages_per_s = 60.5
retry_after = true
max_retry_after_ms = 2000.0
idle_ms = 30000
slow_start_from = 0.25
slow_start_ms = 1500.5
overload_multiple = 3.0
overload_ms = 2000
[[settings.class]]
name = "buy"
retry_safety = "keyed"
group = "cell"
window_ms = 3000
latency_objective_ms = 800
[[settings.plan]]
name = "team"
rate = 12.5
burst = 40
max_in_flight = 2
ceiling_rate = 25.5
ceiling_burst = 80
[shadow]
enabled = true
[shadow.settings]
max_attempts = 2
[[shadow.settings.class]]
name = "seats"
retry_safety = "unsafe"
[[shadow.settings.plan]]
name = "team"
max_in_flight = 0
[health_checks]
enabled = true
interval_ms = 4000
max_bytes_per_s = 2048
[quota]
store = "10.2.0.6:6379"
calls = 100
[authz]
service = "10.2.0.7:9191"
max_in_flight = 32
fail_open = ["seats", "buy"]
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
warmup_factor = 5
idle_s = 31
drain_ms = 2001
load_reports = false
health_checks = false
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
retry_p = 0.6
connections = 257
plan = "pro"
spread = 2
[[lab.load.class]]
name = "a"
retry_safety = "safe"
share = 0.7
budget_ms = 501
units = 2
[[lab.load.class]]
name = "b"
retry_safety = "unsafe"
share = 0.3
budget_ms = 502
`

// Guards against a deprecated key whose value is lost or reaches the wrong field, and against a missing or repeated notice.
// standardFile and deprecatedFile give the same values, so that both must parse to the same configuration.
func TestDeprecatedNamesMeanTheStandardOnes(t *testing.T) {
	standard, errs := Parse(standardFile)
	if len(errs) > 0 || len(standard.Deprecations) > 0 {
		t.Fatalf("Parse(standardFile): errors %v, deprecations %v, want none", errs, standard.Deprecations)
	}
	deprecated, errs := Parse(deprecatedFile)
	if len(errs) > 0 {
		t.Fatalf("Parse(deprecatedFile): errors %v, want none", errs)
	}
	for name, describe := range map[string]func(*File) string{
		"file":            func(f *File) string { return describeFile(*f) },
		"settings":        func(f *File) string { return describeSettings(&f.Settings) },
		"shadow settings": func(f *File) string { return describeSettings(&f.Shadow.Settings) },
	} {
		t.Run(name, func(t *testing.T) {
			if got, want := describe(&standard), describe(&deprecated); got != want {
				t.Errorf("standardFile parses to %q, want %q as from deprecatedFile", got, want)
			}
		})
	}
	var notices strings.Builder
	for _, d := range deprecated.Deprecations {
		notices.WriteString(d.String() + "\n")
	}
	if notices.String() != deprecatedFileNotices {
		t.Errorf("notices of deprecatedFile:\n%s\nwant\n%s", notices.String(), deprecatedFileNotices)
	}
}

// deprecatedFileNotices are the notices of deprecatedFile, one a line.
const deprecatedFileNotices = `line 4: settings.executions: deprecated; write settings.max_attempts
line 5: settings.withdraw: deprecated; write settings.cancel_attempts
line 7: settings.peers_take: deprecated; write settings.peer_messages_per_s
line 8: settings.advice: deprecated; write settings.retry_after
line 9: settings.advice_most_ms: deprecated; write settings.max_retry_after_ms
line 11: settings.cold_from: deprecated; write settings.slow_start_from
line 12: settings.cold_ms: deprecated; write settings.slow_start_ms
line 13: settings.fall_multiple: deprecated; write settings.overload_multiple
line 14: settings.fall_ms: deprecated; write settings.overload_ms
line 15: settings.band: deprecated; write settings.class
line 17: settings.band.0.repeats: deprecated; write settings.class.0.retry_safety = "keyed"
line 20: settings.band.0.contract_ms: deprecated; write settings.class.0.latency_objective_ms
line 24: settings.plan.0.depth: deprecated; write settings.plan.0.burst
line 25: settings.plan.0.open: deprecated; write settings.plan.0.max_in_flight
line 27: settings.plan.0.ceiling_depth: deprecated; write settings.plan.0.ceiling_burst
line 28: watch: deprecated; write shadow
line 29: watch.on: deprecated; write shadow.enabled
line 31: watch.settings.executions: deprecated; write shadow.settings.max_attempts
line 32: watch.settings.band: deprecated; write shadow.settings.class
line 34: watch.settings.band.0.repeats: deprecated; write shadow.settings.class.0.retry_safety = "unsafe"
line 37: watch.settings.plan.0.open: deprecated; write shadow.settings.plan.0.max_in_flight
line 38: duties: deprecated; write health_checks
line 39: duties.on: deprecated; write health_checks.enabled
line 40: duties.check_ms: deprecated; write health_checks.interval_ms
line 41: duties.bytes: deprecated; write health_checks.max_bytes_per_s
line 47: authz.most: deprecated; write authz.max_in_flight
line 48: authz.pass_open: deprecated; write authz.fail_open
line 64: lab.emulator.cold_factor: deprecated; write lab.emulator.warmup_factor
line 67: lab.emulator.reports: deprecated; write lab.emulator.load_reports
line 68: lab.emulator.probes: deprecated; write lab.emulator.health_checks
line 79: lab.load.again_p: deprecated; write lab.load.retry_p
line 80: lab.load.conns: deprecated; write lab.load.connections
line 85: lab.load.band.0.repeats: deprecated; write lab.load.class.0.retry_safety = "safe"
line 89: lab.load.band: deprecated; write lab.load.class
line 91: lab.load.band.1.repeats: deprecated; write lab.load.class.1.retry_safety = "unsafe"
`

// deprecationCases are files with the errors and notices that Parse must return for them.
var deprecationCases = []struct{ name, text, errors, notices string }{
	{
		"deprecated words under the standard key", "[[settings.class]]\nname = \"a\"\nretry_safety = \"referenced\"\n", "",
		"line 3: settings.class.0.retry_safety: deprecated; write settings.class.0.retry_safety = \"keyed\"",
	},
	{
		"deprecated key in a class", "[[settings.class]]\nname = \"a\"\nrepeats = \"single-use\"\n", "",
		"line 3: settings.class.0.repeats: deprecated; write settings.class.0.retry_safety = \"unsafe\"",
	},
	{
		"deprecated words of the lab", "[[lab.load.class]]\nname = \"a\"\nretry_safety = \"replayable\"\nshare = 1\nbudget_ms = 1\n", "",
		"line 3: lab.load.class.0.retry_safety: deprecated; write lab.load.class.0.retry_safety = \"safe\"",
	},
	{"empty table", "[duties]\n", "", "line 1: duties: deprecated; write health_checks"},
	{"dotted keys", "watch.on = true\n", "", "watch: deprecated; write shadow\nwatch.on: deprecated; write shadow.enabled"},
	{"another letter case", "[Duties]\nON = true\n", "", "duties: deprecated; write health_checks\nduties.on: deprecated; write health_checks.enabled"},
	{
		"deprecated settings in the standard table", "[shadow.settings]\nexecutions = 2\n", "",
		"line 2: shadow.settings.executions: deprecated; write shadow.settings.max_attempts",
	},

	{
		"key under both names", "[settings]\nexecutions = 2\nmax_attempts = 2\n",
		"line 2: settings.executions: deprecated name of settings.max_attempts, which is given too; keep that one", "",
	},
	{
		"table under both names", "[duties]\non = true\n[health_checks]\ninterval_ms = 4000\n",
		"line 1: duties: deprecated name of health_checks, which is given too; keep that one", "",
	},
	{
		"other table under both names", "[watch]\non = true\n[shadow.settings]\nmax_attempts = 2\n",
		"line 1: watch: deprecated name of shadow, which is given too; keep that one", "",
	},
	{
		"list under both names", "[[settings.band]]\nname = \"a\"\n[[settings.class]]\nname = \"b\"\n",
		"line 1: settings.band: deprecated name of settings.class, which is given too; keep that one", "",
	},
	{
		"list of the lab under both names", "[[lab.load.band]]\nname = \"a\"\n[[lab.load.class]]\nname = \"b\"\nretry_safety = \"safe\"\nshare = 1\nbudget_ms = 1\n",
		"line 1: lab.load.band: deprecated name of lab.load.class, which is given too; keep that one", "",
	},
	{
		"key of a class under both names", "[[settings.class]]\nname = \"a\"\nretry_safety = \"safe\"\nrepeats = \"replayable\"\n",
		"line 4: settings.class.0.repeats: deprecated name of settings.class.0.retry_safety, which is given too; keep that one", "",
	},
	{
		"key of a class of the lab under both names", "[[lab.load.class]]\nname = \"a\"\nretry_safety = \"safe\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\n",
		"line 4: lab.load.class.0.repeats: deprecated name of lab.load.class.0.retry_safety, which is given too; keep that one", "",
	},
	{
		"list under both names, one empty", "[authz]\nmost = 3\nmax_in_flight = 3\npass_open = []\nfail_open = []\n",
		"line 2: authz.most: deprecated name of authz.max_in_flight, which is given too; keep that one\n" +
			"line 4: authz.pass_open: deprecated name of authz.fail_open, which is given too; keep that one", "",
	},

	{
		"unknown word", "[[settings.class]]\nname = \"a\"\nretry_safety = \"twice\"\n",
		"line 3: settings.class.0.retry_safety: \"twice\" is none of safe, keyed, unsafe", "",
	},
	{
		"unknown word of the lab", "[[lab.load.class]]\nname = \"a\"\nretry_safety = \"keyed\"\nshare = 1\nbudget_ms = 1\n",
		"line 3: lab.load.class.0.retry_safety: \"keyed\" is neither safe nor unsafe", "",
	},
	{
		"missing word of the lab", "[[lab.load.class]]\nname = \"a\"\nshare = 1\nbudget_ms = 1\n",
		"line 1: lab.load.class.0.retry_safety: \"\" is neither safe nor unsafe", "",
	},
	{
		"missing deprecated word of the lab", "[[lab.load.band]]\nname = \"a\"\nshare = 1\nbudget_ms = 1\n",
		"line 1: lab.load.band.0.repeats: \"\" is neither replayable nor single-use", "",
	},
	{"no class of the lab", "[lab.load]\nclass = []\n", "line 2: lab.load.class: no class is given", ""},
	{
		"no name of a class", "[[settings.class]]\ngroup = \"all\"\n",
		"line 1: settings.class.0.name: is empty; it must be the platform's name of the class", "",
	},
	{
		"standard keys out of range", "[settings]\nmax_attempts = 0\nslow_start_from = 2.0\n[shadow.settings]\noverload_ms = 0\n[health_checks]\ninterval_ms = 1\n",
		"line 2: settings.max_attempts: 0 is out of range 1 to 100\nline 3: settings.slow_start_from: 2 is out of range 0.001 to 1\n" +
			"line 5: shadow.settings.overload_ms: 0 is out of range 1 to 3.6e+06\nline 7: health_checks.interval_ms: 1 is out of range 200 to 3.6e+06", "",
	},
	{"deprecated key below a standard table of the same part", "[health_checks]\ncheck_ms = 4000\n", "line 2: health_checks.check_ms: no such key", ""},
}

// Guards against a file that gives a key under both names and silently means one of them. Also guards against notices and
// errors that name a key otherwise than the file spells it.
func TestDeprecationsAndTheirErrors(t *testing.T) {
	for _, c := range deprecationCases {
		t.Run(c.name, func(t *testing.T) {
			f, errs := Parse(c.text)
			notices := make([]string, len(f.Deprecations))
			for i, d := range f.Deprecations {
				notices[i] = d.String()
			}
			if got := describeErrors(errs); got != c.errors {
				t.Errorf("Parse(%q): errors %q, want %q", c.text, got, c.errors)
			}
			if got := strings.Join(notices, "\n"); got != c.notices {
				t.Errorf("Parse(%q): notices %q, want %q", c.text, got, c.notices)
			}
		})
	}
}
