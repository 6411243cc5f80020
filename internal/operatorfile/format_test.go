package operatorfile

import (
	"os"
	"testing"
)

// The tests of this file guard the format of the operator file against change: its keys, their defaults and the accepted forms
// of TOML. The files that operators have must keep their meaning.

// Guards against a default that changes, and against an example file that differs from the defaults.
func TestDefaultsOfEveryKey(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"file", describeFile(Default()), "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3}"},
		{"settings", describeSettings(&SettingsOverride{}), ""},
	} {
		checkText(t, c.name, c.got, c.want)
	}
	f, errs := Parse("")
	if len(errs) > 0 || describeFile(f) != describeFile(Default()) {
		t.Errorf("Parse of an empty file = %s, errors %v, want the defaults %s and no errors", describeFile(f), errs, describeFile(Default()))
	}
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, errs := Parse(string(raw)); len(errs) > 0 || describeFile(f) != describeFile(Default()) ||
		describeSettings(&f.Settings) != "" || describeSettings(&f.Shadow.Settings) != "" {
		t.Errorf("Parse(deploy/operator.toml) = %s, errors %v, want the defaults %s and no errors; settings %q, shadow settings %q, want none",
			describeFile(f), errs, describeFile(Default()), describeSettings(&f.Settings), describeSettings(&f.Shadow.Settings))
	}
}

// deprecatedFile has every key, under its deprecated name where it has one.
const deprecatedFile = `[log]
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

// Guards against a key whose value is ignored or reaches the wrong field.
func TestMeaningOfEveryKey(t *testing.T) {
	f, errs := Parse(deprecatedFile)
	if len(errs) > 0 {
		t.Fatalf("Parse(deprecatedFile): errors %v, want none", errs)
	}
	for _, c := range []struct{ name, got, want string }{
		{"file", describeFile(f), "log debug; watch true; duties true 4000 2048; quota \"10.2.0.6:6379\" 100; authz \"10.2.0.7:9191\" 32 [\"seats\" \"buy\"]; grpc \"10.0.0.4:9500\" 128; seed 9223372036854775807; emulator \"[::1]:9000\" 5 9 33 65 21 0.5 3 11 5 31 2001 false false \"faults.toml\"; load \"127.0.0.2:8081\" 201 11 51 1.3 5 1 2 0.6 257 \"pro\" 2 {\"a\" safe 0.7 501 2} {\"b\" unsafe 0.3 502 0}"},
		{"settings", describeSettings(&f.Settings), "cancel_attempts=true;class.1.idempotency_group=cell;class.1.idempotency_window=30000;class.1.latency_objective=8000;class.1.retry_safety=keyed;idle_timeout=300000;max_attempts=3;max_retry_after=20000;overload_multiple=3;overload_span=20000;peer_messages_per_s=60.5;peers=false;plan.0.burst=40;plan.0.ceiling_burst=80;plan.0.ceiling_rate=25.5;plan.0.max_in_flight=2;plan.0.rate=12.5;retry_after=true;slow_start_share=0.25;slow_start_span=15005;"},
		{"shadow settings", describeSettings(&f.Shadow.Settings), "class.0.retry_safety=unsafe;max_attempts=2;plan.0.max_in_flight=0;"},
	} {
		checkText(t, c.name, c.got, c.want)
	}
}

// Guards against a form of TOML that Parse reads as other values: inline tables, other letter cases, integers for floats, and
// empty tables and lists.
func TestFormsOfTOML(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"dotted keys", "duties.on = true\nquota = {store = \"1.2.3.4:5\", calls = 7}\nlab.load.band = [{name = \"x\", repeats = \"replayable\", share = 1, budget_ms = 5}]\n", "log info; watch false; duties true 5000 4096; quota \"1.2.3.4:5\" 7; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"x\" safe 1 5 0} |  | "},
		{"keys in another letter case", "[DUTIES]\nON = true\nCheck_Ms = 4000\n[Lab.Load]\nRATE = 5\n", "log info; watch false; duties true 4000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 5 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"one class replaces all defaults", "[[lab.load.band]]\nname = \"only\"\nrepeats = \"replayable\"\nshare = 1.0\nbudget_ms = 100\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"only\" safe 1 100 0} |  | "},
		{"integers for floats", "[quota]\ncalls = 5\n[lab.load]\nrate = 7\n", "log info; watch false; duties false 5000 4096; quota \"\" 5; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 7 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"empty tables", "[settings]\n[watch]\n[watch.settings]\n[duties]\n[quota]\n[authz]\n[grpc]\n[lab]\n[lab.emulator]\n[lab.load]\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"empty list", "[authz]\npass_open = []\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
		{"shadow settings, not enabled", "[watch.settings]\nexecutions = 2\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 1; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | max_attempts=2;"},
		{"seed below 0", "[lab]\nseed = -1\n", "log info; watch false; duties false 5000 4096; quota \"\" 200; authz \"\" 64 []; grpc \"\" 256; seed 18446744073709551615; emulator \"127.0.0.1:0\" 4 8 32 64 20 0.4 2 10 4 30 2000 true true \"\"; load \"127.0.0.1:8080\" 200 10 50 1.2 0 0 1 0.5 256 \"team\" 1 {\"seat-lookup\" safe 0.8 500 1} {\"seat-purchase\" unsafe 0.2 1500 3} |  | "},
	} {
		f, errs := Parse(c.text)
		if len(errs) > 0 {
			t.Errorf("%s: Parse(%q): errors %v, want none", c.name, c.text, errs)
		}
		checkText(t, c.name, describeFile(f)+" | "+describeSettings(&f.Settings)+" | "+describeSettings(&f.Shadow.Settings), c.want)
	}
}
