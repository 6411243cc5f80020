package main

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"cherrygap/internal/operatorfile"
)

const goodSettings = `{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}`

// noEnv is an environment in which nothing is set.
func noEnv(string) string { return "" }

// program is this program as a process of its own, in a directory, with nothing in its environment but env.
func program(t *testing.T, dir string, env []string, args ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), self, args...)
	cmd.Dir = dir
	cmd.Env = append([]string{asProgram + "=1", "GORACE=atexit_sleep_ms=0", "HOME=" + dir}, env...)
	return cmd
}

// Each configuration that can't be read is the same one line on standard error and the exit code 2, at the start
// of a node and by `config check`.
func TestPinnedConfigurationErrors(t *testing.T) {
	const positive = "limits: cores, memory_mb and sockets must be above 0"
	const number = "json: cannot unmarshal number into Go struct field config."
	const limitsType = `struct { Cores float64 "json:\"cores\""; MemoryMB int "json:\"memory_mb\""; Sockets int "json:\"sockets\"" }`
	for _, c := range []struct{ name, old, new, want string }{
		{"not JSON", good, "{", "unexpected end of JSON input"},
		{"empty", good, "", "unexpected end of JSON input"},
		{"a list", good, "[]", "json: cannot unmarshal array into Go value of type main.config"},
		{"text behind", good, good + "x", "invalid character 'x' after top-level value"},
		{"name a number", `"n3"`, "3", number + "name of type string"},
		{"listen missing", `"listen":"127.0.0.4:9000",`, "", "listen: not an ip:port"},
		{"listen a number", `"127.0.0.4:9000"`, "9000", number + "listen of type string"},
		{"listen without a port", "127.0.0.4:9000", "127.0.0.4", "listen: not an ip:port"},
		{"listen a name", "127.0.0.4:9000", "localhost:9000", `listen: ParseAddr("localhost"): unable to parse IP`},
		{"listen port too large", "127.0.0.4:9000", "127.0.0.4:90000", `listen: invalid port "90000" parsing "127.0.0.4:90000"`},
		{"listen a port alone", "127.0.0.4:9000", ":9000", "listen: no IP"},
		{"listen empty", "127.0.0.4:9000", "", "listen: not an ip:port"},
		{"discovery missing", `"discovery":"127.0.0.9:8500",`, "", "discovery: not an ip:port"},
		{
			"discovery a list", `"127.0.0.9:8500"`, `["127.0.0.9:8500"]`,
			"json: cannot unmarshal array into Go struct field config.discovery of type string",
		},
		{"discovery a name", "127.0.0.9:8500", "there", "discovery: not an ip:port"},
		{"seed missing", `"seed":"8c1f30d27a5be964",`, "", `seed: strconv.ParseUint: parsing "": invalid syntax`},
		{"seed a number", `"8c1f30d27a5be964"`, "7", number + "seed of type string"},
		{"seed not hexadecimal", "8c1f30d27a5be964", "seed", `seed: strconv.ParseUint: parsing "seed": invalid syntax`},
		{
			"seed too long", "8c1f30d27a5be964", "18c1f30d27a5be964",
			`seed: strconv.ParseUint: parsing "18c1f30d27a5be964": value out of range`,
		},
		{"seed with a prefix", "8c1f30d27a5be964", "0x8c1f", `seed: strconv.ParseUint: parsing "0x8c1f": invalid syntax`},
		{"seed negative", "8c1f30d27a5be964", "-1", `seed: strconv.ParseUint: parsing "-1": invalid syntax`},
		{"limits missing", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", positive},
		{
			"limits a list", `{"cores":1.0,"memory_mb":192,"sockets":1024}`, "[]",
			"json: cannot unmarshal array into Go struct field config.limits of type " + limitsType,
		},
		{"cores zero", `"cores":1.0`, `"cores":0`, positive},
		{"cores negative", `"cores":1.0`, `"cores":-1`, positive},
		{
			"cores a text", `"cores":1.0`, `"cores":"1"`,
			"json: cannot unmarshal string into Go struct field .limits.cores of type float64",
		},
		{
			"cores too large", `"cores":1.0`, `"cores":1e999`,
			"json: cannot unmarshal number 1e999 into Go struct field .limits.cores of type float64",
		},
		{"memory zero", `"memory_mb":192`, `"memory_mb":0`, positive},
		{
			"memory a fraction", `"memory_mb":192`, `"memory_mb":192.5`,
			"json: cannot unmarshal number 192.5 into Go struct field .limits.memory_mb of type int",
		},
		{
			"memory too large", `"memory_mb":192`, `"memory_mb":99999999999999999999`,
			"json: cannot unmarshal number 99999999999999999999 into Go struct field .limits.memory_mb of type int",
		},
		{"sockets missing", `,"sockets":1024`, "", positive},
		{"sockets negative", `"sockets":1024`, `"sockets":-1`, positive},
		{
			"sockets a text", `"sockets":1024`, `"sockets":"1024"`,
			"json: cannot unmarshal string into Go struct field .limits.sockets of type int",
		},
		{"peer_listen a name", `"127.0.0.4:7946"`, `"here"`, "not an ip:port"},
		{"peer_listen a number", `"127.0.0.4:7946"`, "7946", number + "peer_listen of type netip.AddrPort"},
		{
			"peers a text", `["127.0.0.5:7946"]`, `"127.0.0.5:7946"`,
			"json: cannot unmarshal string into Go struct field config.peers of type []netip.AddrPort",
		},
		{"peers with a name", `["127.0.0.5:7946"]`, `["127.0.0.5:7946","peer"]`, "not an ip:port"},
		{"peers with a number", `["127.0.0.5:7946"]`, "[7]", number + "peers of type netip.AddrPort"},
		{"peers_all a name", "127.0.0.6:7946", "all", "not an ip:port"},
		{"settings missing", ",\n\t\"settings\":" + goodSettings, "", "settings: EOF"},
		{"settings a list", goodSettings, "[]", "settings: json: cannot unmarshal array into Go value of type map[string]interface {}"},
		{"settings a text", goodSettings, `"x"`, "settings: json: cannot unmarshal string into Go value of type map[string]interface {}"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if !strings.Contains(good, c.old) {
				t.Fatalf("%q is no part of the good configuration", c.old)
			}
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "config.json"), []byte(strings.Replace(good, c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, run := range []struct {
				want string
				cmd  *exec.Cmd
			}{
				{"config.json: " + c.want + "\n", program(t, dir, nil, "config", "check", "config.json")},
				{"cherrygap: config.json: " + c.want + "\n", program(t, dir, []string{"GW_CONFIG=config.json"})},
			} {
				out, err := run.cmd.CombinedOutput()
				if code := run.cmd.ProcessState.ExitCode(); string(out) != run.want || code != 2 {
					t.Errorf("%v: %q, exit code %d, %v; want %q", run.cmd.Args[1:], out, code, err, run.want)
				}
			}
		})
	}
}

// What keeps a node from its start beside the configuration's text, and what `config check` says of each file.
func TestPinnedStartErrors(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"good.json": good, "bad.toml": "[log]\nlevel = \"loud\"\n[nothing]\nx = 1\n",
		"good.toml": "[log]\nlevel = \"warn\"\n", "band.toml": "[[settings.band]]\nname = \"other\"\n",
		"watch.toml":  "[watch]\non = true\n[[watch.settings.plan]]\nname = \"other\"\nrate = 1.0\n",
		"known.json":  strings.Replace(good, `{"rev":41,"all":true,"targets":[]}`, "7", 1),
		"rev.json":    strings.Replace(good, `"rev":41`, `"rev":"x"`, 1),
		"state.json":  strings.Replace(good, `"targets":[]`, `"targets":[{"uid":"s","state":"later"}]`, 1),
		"syntax.toml": "[log\n", "null.json": "null",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const badFile = "bad.toml: line 2: log.level: \"loud\" is none of debug, info, warn, error\n" +
		"bad.toml: line 3: nothing: no such key\nbad.toml: line 4: nothing.x: no such key\n"
	for _, c := range []struct {
		name, args string
		env        []string
		want       string
		code       int
	}{
		{"no file named", "", nil, "cherrygap: GW_CONFIG is not set\n", 2},
		{"no such file", "serve", []string{"GW_CONFIG=none.json"}, "cherrygap: open none.json: no such file or directory\n", 2},
		{"a directory", "serve", []string{"GW_CONFIG=."}, "cherrygap: read .: is a directory\n", 2},
		{"GW_LISTEN bad", "serve", []string{"GW_CONFIG=good.json", "GW_LISTEN=here"}, "cherrygap: good.json: listen: not an ip:port\n", 2},
		{
			"GW_DISCOVERY bad", "serve",
			[]string{"GW_CONFIG=good.json", "GW_DISCOVERY=127.0.0.1:x"},
			"cherrygap: good.json: discovery: invalid port \"x\" parsing \"127.0.0.1:x\"\n", 2,
		},
		{
			"null, addresses given beside", "serve",
			[]string{"GW_CONFIG=null.json", "GW_LISTEN=127.0.0.1:0", "GW_DISCOVERY=127.0.0.1:1"},
			"cherrygap: null.json: seed: strconv.ParseUint: parsing \"\": invalid syntax\n", 2,
		},
		{"operator file bad", "serve --operator bad.toml", []string{"GW_CONFIG=good.json"}, "cherrygap: " + badFile, 2},
		{"GW_OPERATOR bad", "", []string{"GW_CONFIG=good.json", "GW_OPERATOR=bad.toml"}, "cherrygap: " + badFile, 2},
		{
			"no such operator file", "--operator none.toml",
			[]string{"GW_CONFIG=good.json"},
			"cherrygap: open none.toml: no such file or directory\n", 2,
		},
		{
			"band not named", "--operator band.toml",
			[]string{"GW_CONFIG=good.json"},
			"cherrygap: settings: band \"other\": the platform's settings name \n", 2,
		},
		{
			"plan not named", "--operator watch.toml",
			[]string{"GW_CONFIG=good.json"},
			"cherrygap: watch.settings: plan \"other\": the platform's settings name \n", 2,
		},
		{"check of all good", "config check good.json good.toml", nil, "good.json: good\ngood.toml: good\n", 0},
		{"check of a known list", "config check known.json", nil, "known.json: known: malformed list\n", 2},
		{"check of a known list's version", "config check rev.json", nil, "rev.json: known: malformed list\n", 2},
		{"check of a known list's state", "config check state.json", nil, "state.json: known: malformed list\n", 2},
		{"check of some bad", "config check bad.toml good.json none.toml none.json syntax.toml", nil, badFile + "good.json: good\n" +
			"open none.toml: no such file or directory\nopen none.json: no such file or directory\n" +
			"syntax.toml: line 2: (syntax): expected '.' or ']' to end table name, but got '\\n' instead\n", 2},
		{"check of nothing", "config check", nil, "cherrygap: requires at least 1 arg(s), only received 0\n", 2},
		{"no such command", "server", nil, "cherrygap: unknown command \"server\" for \"cherrygap\"\n", 2},
		{"no such flag", "serve --fast", nil, "cherrygap: unknown flag: --fast\n", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd := program(t, dir, c.env, strings.Fields(c.args)...)
			out, err := cmd.CombinedOutput()
			if code := cmd.ProcessState.ExitCode(); string(out) != c.want || code != c.code {
				t.Errorf("%q, exit code %d, %v; want %q and %d", out, code, err, c.want, c.code)
			}
		})
	}
}

// values is everything that the node takes from a configuration, as text by name.
func values(c *config) map[string]string {
	l, d, q := c.limits(), c.duties(), c.leases()
	var own syscall.Rlimit
	sockets := fmt.Sprint(l.Sockets)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil && c.Limits.Sockets > 1024 && uint64(l.Sockets) == own.Cur {
		sockets = "the process's"
	}
	names, contracts := c.bands()
	checks, numbers, err := c.checks()
	return map[string]string{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery + " " + c.named, "seed": fmt.Sprintf("%x", c.seed),
		"peer": fmt.Sprint(c.Peer), "peers": fmt.Sprint(c.Peers), "all": fmt.Sprint(c.PeersAll),
		"given":   fmt.Sprint(c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets),
		"known":   fmt.Sprint(c.known.Revision, c.known.Full, len(c.known.Endpoints)),
		"sockets": sockets, "memory": fmt.Sprint(l.MemoryMB), "idle": fmt.Sprint(l.Idle), "connect": fmt.Sprint(l.Connect),
		"grpc": fmt.Sprint(l.GRPC), "shares": fmt.Sprint(c.shares()),
		"duties":    fmt.Sprintf("%d/%d %x %v %v %v", d.Me, d.Nodes, d.Seed, d.Take, d.Bytes, d.Every),
		"names":     fmt.Sprintf("%q", names),
		"contracts": fmt.Sprint(contracts),
		"quota":     fmt.Sprintf("%d/%d %x %v %v", q.Me, q.Nodes, q.Seed, q.Calls, q.Wait),
		"checks":    fmt.Sprint(checks.MaxInFlight, " ", checks.MaxRetryAfter, " ", checks.Classes, " ", numbers, " ", err),
		"operator": fmt.Sprintf("%v %q %q %q %q %d", c.level, c.quota.Store, c.authz.Service, c.authz.FailOpen, c.grpc.Listen,
			c.grpc.MaxCalls),
	}
}

// goodValues are those of the good configuration without an operator file.
var goodValues = map[string]string{
	"all":       "127.0.0.6:7946",
	"checks":    "64 0s [] map[] <nil>",
	"connect":   "250ms",
	"contracts": "[]",
	"discovery": "127.0.0.9:8500 127.0.0.9:8500",
	"duties":    "2/1 8c1f30d27a5be964 0 4096 5s",
	"given":     "1 192 1024",
	"grpc":      "false",
	"idle":      "15s",
	"known":     "41 true 0",
	"listen":    "127.0.0.4:9000",
	"memory":    "192",
	"name":      "n3",
	"names":     "[]",
	"operator":  `info "" "" [] "" 256`,
	"peer":      "127.0.0.4:7946",
	"peers":     "[127.0.0.5:7946]",
	"quota":     "2/0 8c1f30d27a5be964 200 20ms",
	"seed":      "8c1f30d27a5be964",
	"shares":    "false",
	"sockets":   "1024",
}

// compareValues compares what a configuration gives with what the good one does, but for the changes: lines of a
// name, a colon and a value.
func compareValues(t *testing.T, c *config, changes string) {
	t.Helper()
	got := values(c)
	want := maps.Clone(goodValues)
	for line := range strings.Lines(changes) {
		name, value, _ := strings.Cut(line, ":")
		want[name] = strings.TrimSpace(value)
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if got[name] != want[name] {
			t.Errorf("%s: %s\nwant %s", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d values, want %d", len(got), len(want))
	}
}

// Values that are read, odd ones too, and what the node makes of each.
func TestPinnedConfigurationValues(t *testing.T) {
	const services = `{"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}]`
	const fleet = `"peers":["127.0.0.5:7946","127.0.0.5:7947","127.0.0.4:7946"]`
	for _, c := range []struct{ name, old, new, changes string }{
		{"good", "", "", ""},
		{"least", good, `{"listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"0",
			"limits":{"cores":0.01,"memory_mb":1,"sockets":1},"settings":{}}`, `all: invalid AddrPort
connect: 1s
duties: 0/0 0 0 4096 5s
given: 0.01 1 1
idle: 0s
known: 0 false 0
memory: 1
name:
peer: invalid AddrPort
peers: []
quota: 0/0 0 200 20ms
seed: 0
sockets: 1`},
		{"keys not known", `"name"`, `"zone":"a","limit":7,"name"`, ""},
		{"keys in other case", `"listen"`, `"LISTEN"`, ""},
		{"a key twice", `"name":"n3"`, `"name":"n3","name":"n4"`, "name: n4"},
		{"null values", good, `{"name":null,"listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
			"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":null,"peers":null,"peers_all":null,"known":null,
			"settings":{"slot_no":null,"limits":null,"services":null}}`, `all: invalid AddrPort
connect: 1s
duties: 0/0 8c1f30d27a5be964 0 4096 5s
idle: 0s
known: 0 false 0
name:
peer: invalid AddrPort
peers: []
quota: 0/0 8c1f30d27a5be964 200 20ms`},
		{"seed in capitals", "8c1f30d27a5be964", "8C1F", `duties: 2/1 8c1f 0 4096 5s
quota: 2/0 8c1f 200 20ms
seed: 8c1f`},
		{"IPv6", "127.0.0.4:9000", "[::1]:9000", "listen: [::1]:9000"},
		{"port 0", "127.0.0.4:9000", "0.0.0.0:0", "listen: 0.0.0.0:0"},
		{"no peers", `"peers":["127.0.0.5:7946"],`, "", `duties: 2/0 8c1f30d27a5be964 0 4096 5s
peers: []`},
		{"peer addresses empty", `"127.0.0.4:7946"`, `""`, "peer: invalid AddrPort"},
		{"more sockets than there are", `"sockets":1024`, `"sockets":1099511627776`, `given: 1 192 1099511627776
sockets: the process's`},
		{"known null", `{"rev":41,"all":true,"targets":[]}`, "null", "known: 0 false 0"},
		{"known empty", `{"rev":41,"all":true,"targets":[]}`, "{}", "known: 0 false 0"},
		{"known with a server", `"targets":[]`, `"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"in_service"}]`, "known: 41 true 1"},
		{"settings null", goodSettings, "null", `connect: 1s
duties: 0/1 8c1f30d27a5be964 0 4096 5s
idle: 0s
quota: 0/0 8c1f30d27a5be964 200 20ms`},
		{"slot_no a text", `"slot_no":2`, `"slot_no":"2"`, ""},
		{"slot_no a fraction", `"slot_no":2`, `"slot_no":2.5`, "quota: 0/0 8c1f30d27a5be964 200 20ms"},
		{"slot_no negative", `"slot_no":2`, `"slot_no":-1`, `duties: -1/1 8c1f30d27a5be964 0 4096 5s
quota: -1/0 8c1f30d27a5be964 200 20ms`},
		{"slot_no a list", `"slot_no":2`, `"slot_no":[2]`, ""},
		{"slot_no missing", `"slot_no":2,`, "", `duties: 0/1 8c1f30d27a5be964 0 4096 5s
quota: 0/0 8c1f30d27a5be964 200 20ms`},
		{"replicas_of_me", `"slot_no":2`, `"slot_no":2,"replicas_of_me":80`, "quota: 2/80 8c1f30d27a5be964 200 20ms"},
		{"replicas_of_me a text", `"slot_no":2`, `"slot_no":2,"replicas_of_me":"many"`, ""},
		{"connect_timeout zero", `"connect_timeout":250000`, `"connect_timeout":0`, "connect: 1s"},
		{"connect_timeout negative", `"connect_timeout":250000`, `"connect_timeout":-250000`, "connect: 1s"},
		{"connect_timeout a fraction", `"connect_timeout":250000`, `"connect_timeout":250199.9`, "connect: 250.1ms"},
		{"connect_timeout under a tenth", `"connect_timeout":250000`, `"connect_timeout":99`, "connect: 1s"},
		{"connect_timeout a number's text", `"connect_timeout":250000`, `"connect_timeout":"250000"`, ""},
		{"connect_timeout a text", `"connect_timeout":250000`, `"connect_timeout":"soon"`, "connect: 1s"},
		{"connect_timeout true", `"connect_timeout":250000`, `"connect_timeout":true`, "connect: 1s"},
		{"connect_timeout null", `"connect_timeout":250000`, `"connect_timeout":null`, "connect: 1s"},
		{"conn_idle missing", `"conn_idle":15000000,`, "", "idle: 0s"},
		{"conn_idle with an exponent", `"conn_idle":15000000`, `"conn_idle":1.5e7`, ""},
		{"conn_idle a text", `"conn_idle":15000000`, `"conn_idle":"15 s"`, "idle: 0s"},
		{"shares", `"peers":["127.0.0.5:7946"]`, fleet, `duties: 2/3 8c1f30d27a5be964 0 4096 5s
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]`},
		{"shares, probes allowed", `"slot_no":2,"limits":{`, `"slot_no":0,"limits":{"probes":true,`, `duties: 0/1 8c1f30d27a5be964 0 4096 5s
quota: 0/0 8c1f30d27a5be964 200 20ms`},
		{"peer_in_per_s", `"slot_no":2`, `"slot_no":2,"specifics":{"peer_in_per_s":40.5}`, "duties: 2/1 8c1f30d27a5be964 40.5 4096 5s"},
		{"peer_in_per_s a text", `"slot_no":2`, `"slot_no":2,"specifics":{"peer_in_per_s":"forty"}`, ""},
		{"services", `{"slot_no":2`, services + `,"slot_no":2`, `checks: 64 0s [{400ms false} {800ms false}] map[buy:1 look:0] <nil>
contracts: [400ms 800ms]
names: ["look" "buy"]
quota: 2/0 8c1f30d27a5be964 200 80ms`},
		{"services without slo", `{"slot_no":2`, `{"services":[{"name":"look"}],"slot_no":2`, `checks: 64 0s [{0s false}] map[look:0] <nil>
contracts: [0s]
names: ["look"]`},
		{"services with odd slo", `{"slot_no":2`, `{"services":[{"name":"look","slo":"x"},{"slo":-5},{"name":3,"slo":30000000}],"slot_no":2`, `checks: 64 0s [{0s false} {0s false} {30s false}] map[:1 3:2 look:0] <nil>
contracts: [0s 0s 30s]
names: ["look" "" "3"]`},
		{"services empty", `{"slot_no":2`, `{"services":[],"slot_no":2`, ""},
		{"services of texts", `{"slot_no":2`, `{"services":["look","buy"],"slot_no":2`, ""},
		{"services an object", `{"slot_no":2`, `{"services":{"name":"look"},"slot_no":2`, ""},
		{"services counted", `{"slot_no":2`, `{"services":{"count":2,"0":{"name":"look","slo":400000}},"slot_no":2`, `checks: 64 0s [{400ms false} {0s false}] map[:1 look:0] <nil>
contracts: [400ms 0s]
names: ["look" ""]`},
		{"retry_after", `"conn_idle"`, `"retry_after":true,"max_retry_after":2000000,"conn_idle"`, "checks: 64 2s [] map[] <nil>"},
		{"retry_after false", `"conn_idle"`, `"retry_after":false,"max_retry_after":2000000,"conn_idle"`, ""},
		{"retry_after a number", `"conn_idle"`, `"retry_after":1,"max_retry_after":2000000,"conn_idle"`, ""},
		{"max_retry_after a text", `"conn_idle"`, `"retry_after":"true","max_retry_after":"2 s","conn_idle"`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf, err := parseConfig([]byte(strings.Replace(good, c.old, c.new, 1)), noEnv)
			if err != nil {
				t.Fatal(err)
			}
			if err := conf.take(operatorfile.Default()); err != nil {
				t.Fatal(err)
			}
			compareValues(t, conf, c.changes)
		})
	}
}

// The operator file's part of the node's configuration.
func TestPinnedOperatorValues(t *testing.T) {
	text := strings.NewReplacer(`{"slot_no":2`, `{"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}],"slot_no":2`,
		`"peers":true`, `"peers":true,"probes":true`, `["127.0.0.5:7946"]`,
		`["127.0.0.5:7946","127.0.0.5:7947","127.0.0.4:7946"]`).Replace(good)
	for _, c := range []struct{ name, operator, changes string }{
		{"none", "", `checks: 64 0s [{400ms false} {800ms false}] map[buy:1 look:0] <nil>
contracts: [400ms 800ms]
duties: 2/3 8c1f30d27a5be964 0 4096 5s
names: ["look" "buy"]
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]
quota: 2/0 8c1f30d27a5be964 200 80ms`},
		{"all", `[log]
level = "error"
[settings]
idle_ms = 20.5
advice = true
advice_most_ms = 1500.0
peers_take = 7.5
[duties]
on = true
check_ms = 250.5
bytes = 1024.0
[quota]
store = "127.0.0.1:6379"
calls = 17.0
[authz]
service = "127.0.0.1:9001"
most = 9
pass_open = ["buy"]
[grpc]
listen = "127.0.0.1:9002"
calls = 3
`, `checks: 9 1.5s [{400ms false} {800ms true}] map[buy:1 look:0] <nil>
contracts: [400ms 800ms]
duties: 2/3 8c1f30d27a5be964 7.5 1024 250.5ms
grpc: true
idle: 20.5ms
names: ["look" "buy"]
operator: error "127.0.0.1:6379" "127.0.0.1:9001" ["buy"] "127.0.0.1:9002" 3
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]
quota: 2/0 8c1f30d27a5be964 17 80ms
shares: true`},
		{"a band that passes open is not named", "[authz]\npass_open = [\"fly\"]\n", `checks: 64 0s [{400ms false} {800ms false}] map[] authz.pass_open "fly": the platform's settings name look, buy
contracts: [400ms 800ms]
duties: 2/3 8c1f30d27a5be964 0 4096 5s
names: ["look" "buy"]
operator: info "" "" ["fly"] "" 256
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]
quota: 2/0 8c1f30d27a5be964 200 80ms`},
		{"a contract time", "[[settings.band]]\nname = \"look\"\ncontract_ms = 10.0\n", `checks: 64 0s [{10ms false} {800ms false}] map[buy:1 look:0] <nil>
contracts: [10ms 800ms]
duties: 2/3 8c1f30d27a5be964 0 4096 5s
names: ["look" "buy"]
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf, err := parseConfig([]byte(text), noEnv)
			if err != nil {
				t.Fatal(err)
			}
			op, faults := operatorfile.Parse(c.operator)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			if err := conf.take(op); err != nil {
				t.Fatal(err)
			}
			compareValues(t, conf, c.changes)
		})
	}
}

// GW_NAME, GW_LISTEN and GW_DISCOVERY hold over the file where they are not empty, and nothing else does. What the
// file names as discovery is kept beside, for a SIGHUP.
func TestPinnedEnvironment(t *testing.T) {
	for _, c := range []struct{ name, env, want string }{
		{"none", "", "n3 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
		{"GW_NAME", "GW_NAME=other", "other 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
		{"GW_LISTEN", "GW_LISTEN=127.0.0.7:80", "n3 127.0.0.7:80 127.0.0.9:8500 127.0.0.9:8500"},
		{"GW_DISCOVERY", "GW_DISCOVERY=127.0.0.7:81", "n3 127.0.0.4:9000 127.0.0.7:81 127.0.0.9:8500"},
		{"all", "GW_NAME=o GW_LISTEN=127.0.0.7:80 GW_DISCOVERY=127.0.0.7:81", "o 127.0.0.7:80 127.0.0.7:81 127.0.0.9:8500"},
		{"empty ones", "GW_NAME= GW_LISTEN= GW_DISCOVERY=", "n3 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
		{"others", "GW_SEED=7 GW_PEER_LISTEN=127.0.0.7:82 NAME=x", "n3 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(file, []byte(good), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"} {
				t.Setenv(name, "")
			}
			t.Setenv("GW_CONFIG", file)
			for _, set := range strings.Fields(c.env) {
				name, value, _ := strings.Cut(set, "=")
				t.Setenv(name, value)
			}
			conf, err := startConfig()
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(conf.Name, " ", conf.Listen, " ", conf.Discovery, " ", conf.named); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
