package operatorfile

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// errorCases are invalid files with the texts of their errors, which operators' scripts may match.
var errorCases = []struct{ name, text, want string }{
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
	{"settings.band.name", "[[settings.band]]\nrepeats = \"replayable\"\n", "line 1: settings.band.0.name: is empty; it must be the platform's name of the band"},
	{"settings.band.name twice", "[[settings.band]]\nname = \"a\"\n[[settings.band]]\nname = \"a\"\n", "line 4: settings.band.1.name: \"a\" is given twice"},
	{"settings.band.repeats", "[[settings.band]]\nname = \"a\"\nrepeats = \"twice\"\n", "line 3: settings.band.0.repeats: \"twice\" is none of replayable, referenced, single-use"},
	{"settings.band.group", "[[settings.band]]\nname = \"a\"\ngroup = \"hall\"\n", "line 3: settings.band.0.group: \"hall\" is none of all, zone, cell"},
	{"settings.band.window_ms", "[[settings.band]]\nname = \"a\"\nwindow_ms = -1\n", "line 3: settings.band.0.window_ms: -1 is out of range 0 to 3.6e+06"},
	{"settings.band.contract_ms", "[[settings.band]]\nname = \"a\"\ncontract_ms = 0\n", "line 3: settings.band.0.contract_ms: 0 is out of range 1 to 3.6e+06"},
	{"settings.plan.name", "[[settings.plan]]\nrate = 1.0\n", "line 1: settings.plan.0.name: is empty; it must be the platform's name of the plan"},
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
	{"quota.store", "[quota]\nstore = \"redis:6379\"\n", "line 2: quota.store: \"redis:6379\" is not an IP address and port: ParseAddr(\"redis\"): unable to parse IP"},
	{"quota.calls", "[quota]\ncalls = 0.5\n", "line 2: quota.calls: 0.5 is out of range 1 to 1e+06"},
	{"authz.service", "[authz]\nservice = \"here\"\n", "line 2: authz.service: \"here\" is not an IP address and port: not an ip:port"},
	{"authz.most", "[authz]\nmost = 0\n", "line 2: authz.most: 0 is out of range 1 to 65536"},
	{"authz.pass_open", "[authz]\npass_open = \"seats\"\n", "(file): toml: line 2 (last key \"authz.pass_open\"): incompatible types: TOML value has type string; destination has type slice"},
	{"grpc.listen", "[grpc]\nlisten = \":9500\"\n", "line 2: grpc.listen: \":9500\" is not an IP address and port: no IP"},
	{"grpc.calls", "[grpc]\ncalls = 65537\n", "line 2: grpc.calls: 65537 is out of range 1 to 65536"},
	{"lab.emulator.listen", "[lab.emulator]\nlisten = \"10.0.0.1:80\"\n", "line 2: lab.emulator.listen: 10.0.0.1 is not a loopback address"},
	{"lab.emulator.listen no address", "[lab.emulator]\nlisten = \"localhost:80\"\n", "line 2: lab.emulator.listen: \"localhost:80\" is not an IP address and port: ParseAddr(\"localhost\"): unable to parse IP"},
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
	{"lab.load.band.name", "[[lab.load.band]]\nname = \"a/b\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\n", "line 2: lab.load.band.0.name: \"a/b\" is not a path segment"},
	{"lab.load.band.repeats", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"referenced\"\nshare = 1\nbudget_ms = 1\n", "line 3: lab.load.band.0.repeats: \"referenced\" is neither replayable nor single-use"},
	{"lab.load.band.share", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = -1\nbudget_ms = 1\n", "line 1: lab.load.band: shares add up to -1, which is not above 0\nline 4: lab.load.band.0.share: -1 is out of range 0 to 1e+06"},
	{"lab.load.band.share 0", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nbudget_ms = 1\n", "line 1: lab.load.band: shares add up to 0, which is not above 0"},
	{"lab.load.band.budget_ms", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = 1\n", "line 1: lab.load.band.0.budget_ms: 0 is out of range 1 to 600000"},
	{"lab.load.band.units", "[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\nunits = -1\n", "line 6: lab.load.band.0.units: -1 is out of range 0 to 1e+09"},
	{"unknown table", "[dutys]\non = true\n", "line 1: dutys: no such key\nline 2: dutys.on: no such key"},
	{"unknown keys everywhere", "new = 1\n[log]\nnew = 1\n[settings]\nnew = 1\n[[settings.band]]\nname = \"a\"\nnew = 1\n[[settings.plan]]\nname = \"a\"\nnew = 1\n[watch]\nnew = 1\n[duties]\nnew = 1\n[quota]\nnew = 1\n[authz]\nnew = 1\n[grpc]\nnew = 1\n[lab]\nnew = 1\n[lab.emulator]\nnew = 1\n[lab.load]\nnew = 1\n[[lab.load.band]]\nname = \"a\"\nrepeats = \"replayable\"\nshare = 1\nbudget_ms = 1\nnew = 1\n", "line 1: new: no such key\nline 3: log.new: no such key\nline 5: settings.new: no such key\nline 6: settings.band.new: no such key\nline 9: settings.plan.new: no such key\nline 13: watch.new: no such key\nline 15: duties.new: no such key\nline 17: quota.new: no such key\nline 19: authz.new: no such key\nline 21: grpc.new: no such key\nline 23: lab.new: no such key\nline 25: lab.emulator.new: no such key\nline 27: lab.load.new: no such key\nline 28: lab.load.band.new: no such key"},
	{"unknown key in a dotted line", "duties.new = 1\n", "duties.new: no such key"},
	{"table in place of a key", "[log.level]\nx = 1\n", "(file): toml: line 1 (last key \"log.level\"): incompatible types: TOML value has type map[string]any; destination has type string"},
	{"key given twice", "[log]\nlevel = \"info\"\nlevel = \"info\"\n", "line 3: (syntax): Key 'log.level' has already been defined."},
	{"missing value", "[log]\nlevel = \"info\"\nseed = = 3\n", "line 3: (syntax): expected value but found '=' instead"},
	{"several errors", "[log]\nlevel = \"loud\"\n\n[lab.emulator]\nservers = 0\ncolour = 3\nlisten = \"10.0.0.1:80\"\n[[lab.load.band]]\nname = \"a\"\nrepeats = \"twice\"\n", "line 2: log.level: \"loud\" is none of debug, info, warn, error\nline 5: lab.emulator.servers: 0 is out of range 1 to 512\nline 6: lab.emulator.colour: no such key\nline 7: lab.emulator.listen: 10.0.0.1 is not a loopback address\nline 8: lab.load.band.0.budget_ms: 0 is out of range 1 to 600000\nline 8: lab.load.band: shares add up to 0, which is not above 0\nline 10: lab.load.band.0.repeats: \"twice\" is neither replayable nor single-use"},
}

// Guards against an error that is not reported, has another text, or has the wrong line. An invalid file must parse to the
// defaults.
func TestErrorTexts(t *testing.T) {
	for _, c := range errorCases {
		f, errs := Parse(c.text)
		if len(errs) == 0 || describeFile(f) != describeFile(Default()) || describeSettings(&f.Settings) != "" {
			t.Errorf("%s: Parse returned %d errors, want at least 1; the file %s, want the default %s; settings %q, want none",
				c.name, len(errs), describeFile(f), describeFile(Default()), describeSettings(&f.Settings))
		}
		checkText(t, c.name, describeErrors(errs), c.want)
	}
}

// Guards against a file that is accepted although it has a value in the place of a table. The text of the error contains the
// name of a Go type, which may change, so the test leaves that name out.
func TestErrorOfAValueForATable(t *testing.T) {
	_, errs := Parse("duties = true\n")
	if len(errs) != 1 || errs[0].Key != "(file)" || !strings.HasPrefix(errs[0].Reason, `toml: line 1 (last key "duties"): type mismatch for `) ||
		!strings.HasSuffix(errs[0].Reason, ": expected table but found bool") {
		t.Errorf("Parse(\"duties = true\") = %v, want one error that begins with %q and ends with %q",
			errs, `(file): toml: line 1 (last key "duties"): type mismatch for `, ": expected table but found bool")
	}
}

// Guards against a value from a command-line flag that is not validated. Its error has no line, because no file gives the value.
func TestErrorsOfFlags(t *testing.T) {
	f := Default()
	f.Authz.Service, f.GRPC.Listen, f.Lab.Load.Rate, f.Log.Level = "a", "b", 0, ""
	errs := f.Validate()
	slices.SortFunc(errs, func(a, b KeyError) int { return strings.Compare(a.Key, b.Key) })
	checkText(t, "flags", describeErrors(errs), `authz.service: "a" is not an IP address and port: not an ip:port
grpc.listen: "b" is not an IP address and port: not an ip:port
lab.load.rate: 0 is out of range 0.01 to 1e+06
log.level: "" is none of debug, info, warn, error`)
}

// Guards against errors of Load that do not name the file, and against unknown class or plan names that Apply accepts.
func TestFileErrorHasPathAndLine(t *testing.T) {
	dir := t.TempDir()
	badPath := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(badPath, []byte("[lab.load]\nrate = -1\nnew = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(badPath)
	var fileError *FileError
	if !errors.As(err, &fileError) || fileError.Path != badPath || len(fileError.Errors) != 2 || describeFile(f) != describeFile(Default()) {
		t.Fatalf("Load(%s) = %s, %v, want the defaults %s and a FileError for that path with 2 errors",
			badPath, describeFile(f), err, describeFile(Default()))
	}
	checkText(t, "errors", err.Error(), badPath+": line 2: lab.load.rate: -1 is out of range 0.01 to 1e+06\n"+badPath+": line 3: lab.load.new: no such key")
	f, err = Load(filepath.Join(dir, "none.toml"))
	if !errors.Is(err, os.ErrNotExist) || describeFile(f) != describeFile(Default()) {
		t.Errorf("Load of a missing file = %s, %v, want the defaults %s and os.ErrNotExist", describeFile(f), err, describeFile(Default()))
	}
	word := "all"
	for _, c := range []struct{ name, got, want string }{
		{"unknown class", describeSettings(&SettingsOverride{Classes: []ClassOverride{{Name: "x", Group: &word}}}), "error band \"x\": the platform's settings name seats, buy"},
		{"unknown class and plan", describeSettings(&SettingsOverride{Plans: []PlanOverride{{Name: "y"}}, Classes: []ClassOverride{{Name: "x"}}}), "error band \"x\": the platform's settings name seats, buy"},
	} {
		checkText(t, c.name, c.got, c.want)
	}
}
