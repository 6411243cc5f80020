package node

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/operatorfile"
)

// valuesOf returns all values that the node reads from a configuration, as texts by label. The label duties has the
// configuration of the health checks, and all has the address that reaches every peer.
func valuesOf(c *Config) map[string]string {
	limits, healthChecks, quota := c.socketLimits(), c.healthCheckConfig(), c.quotaConfig()
	var descriptors syscall.Rlimit
	sockets := fmt.Sprint(limits.MaxDescriptors)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil && c.Limits.Sockets > 1024 &&
		uint64(limits.MaxDescriptors) == descriptors.Cur {
		sockets = "the process's"
	}
	names, objectives := []string{}, []time.Duration{}
	for _, class := range c.requestClasses() {
		names, objectives = append(names, class.name), append(objectives, class.latencyObjective)
	}
	authorization, err := c.authorization()
	authzPolicy := authorization.policy
	return map[string]string{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery + " " + c.fileDiscovery, "seed": fmt.Sprintf("%x", c.randomSeed),
		"peer": fmt.Sprint(c.PeerListen), "peers": fmt.Sprint(c.Peers), "all": fmt.Sprint(c.PeerBroadcast),
		"limits":  fmt.Sprint(c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets),
		"known":   fmt.Sprint(c.knownList.Revision, c.knownList.Full, len(c.knownList.Endpoints)),
		"sockets": sockets, "memory": fmt.Sprint(limits.MemoryMiB),
		"idle": fmt.Sprint(limits.ServerIdleTimeout), "connect": fmt.Sprint(limits.ConnectTimeout),
		"grpc": fmt.Sprint(limits.GRPC), "shares": fmt.Sprint(c.sharesHealthChecks()),
		"duties": fmt.Sprintf("%d/%d %x %v %v %v", healthChecks.Self, healthChecks.Nodes, healthChecks.Seed,
			healthChecks.ReceiveRate, healthChecks.SendRate, healthChecks.Interval),
		"names":      fmt.Sprintf("%q", names),
		"objectives": fmt.Sprint(objectives),
		"quota":      fmt.Sprintf("%d/%d %x %v %v", quota.Self, quota.Nodes, quota.Seed, quota.ExchangeRate, quota.Timeout),
		"authorization": fmt.Sprint(authzPolicy.MaxInFlight, " ", authzPolicy.MaxRetryAfter, " ", authzPolicy.Classes, " ",
			authorization.classNumbers, " ", err),
		"operator": fmt.Sprintf("%v %q %q %q %q %d", ParseLogLevel(c.operator.Log.Level), c.operator.Quota.Store, c.operator.Authz.Service,
			c.operator.Authz.FailOpen, c.operator.GRPC.Listen, c.operator.GRPC.MaxCalls),
	}
}

// goodValues are the values of GoodConfig without an operator file.
var goodValues = map[string]string{
	"all":           "127.0.0.6:7946",
	"authorization": "64 0s [] map[] <nil>",
	"connect":       "250ms",
	"objectives":    "[]",
	"discovery":     "127.0.0.9:8500 127.0.0.9:8500",
	"duties":        "2/1 8c1f30d27a5be964 0 4096 5s",
	"limits":        "1 192 1024",
	"grpc":          "false",
	"idle":          "15s",
	"known":         "41 true 0",
	"listen":        "127.0.0.4:9000",
	"memory":        "192",
	"name":          "n3",
	"names":         "[]",
	"operator":      `info "" "" [] "" 256`,
	"peer":          "127.0.0.4:7946",
	"peers":         "[127.0.0.5:7946]",
	"quota":         "2/0 8c1f30d27a5be964 200 20ms",
	"seed":          "8c1f30d27a5be964",
	"shares":        "false",
	"sockets":       "1024",
}

// compareValues compares a configuration's values with goodValues, after it has replaced values there by those in changes. Each
// line of changes is a label, a colon and a value.
func compareValues(t *testing.T, c *Config, changes string) {
	t.Helper()
	got := valuesOf(c)
	want := maps.Clone(goodValues)
	for line := range strings.Lines(changes) {
		name, value, _ := strings.Cut(line, ":")
		want[name] = strings.TrimSpace(value)
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if got[name] != want[name] {
			t.Errorf("value of %s = %s, want %s", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("the configuration has %d values %q, want %d values %q",
			len(got), slices.Sorted(maps.Keys(got)), len(want), slices.Sorted(maps.Keys(want)))
	}
}

const (
	twoServices = `{"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}]`
	threePeers  = `"peers":["127.0.0.5:7946","127.0.0.5:7947","127.0.0.4:7946"]`
)

// configCases are changes of GoodConfig, and the values that differ from goodValues as a result. The text old is replaced by new.
var configCases = []struct{ name, old, new, changes string }{
	{"good", "", "", ""},
	{"required keys only", nodetest.GoodConfig, `{"listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"0",
			"limits":{"cores":0.01,"memory_mb":1,"sockets":1},"settings":{}}`, `all: invalid AddrPort
connect: 1s
duties: 0/0 0 0 4096 5s
limits: 0.01 1 1
idle: 0s
known: 0 false 0
memory: 1
name:
peer: invalid AddrPort
peers: []
quota: 0/0 0 200 20ms
seed: 0
sockets: 1`},
	{"unknown keys", `"name"`, `"zone":"a","limit":7,"name"`, ""},
	{"key in upper case", `"listen"`, `"LISTEN"`, ""},
	{"duplicate key", `"name":"n3"`, `"name":"n3","name":"n4"`, "name: n4"},
	{"null values", nodetest.GoodConfig, `{"name":null,"listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
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
	{"seed in upper case", "8c1f30d27a5be964", "8C1F", `duties: 2/1 8c1f 0 4096 5s
quota: 2/0 8c1f 200 20ms
seed: 8c1f`},
	{"IPv6", "127.0.0.4:9000", "[::1]:9000", "listen: [::1]:9000"},
	{"port 0", "127.0.0.4:9000", "0.0.0.0:0", "listen: 0.0.0.0:0"},
	{"no peers", `"peers":["127.0.0.5:7946"],`, "", `duties: 2/0 8c1f30d27a5be964 0 4096 5s
peers: []`},
	{"peer_listen empty", `"127.0.0.4:7946"`, `""`, "peer: invalid AddrPort"},
	{"more sockets than the process's limit", `"sockets":1024`, `"sockets":1099511627776`, `limits: 1 192 1099511627776
sockets: the process's`},
	{"known null", `{"rev":41,"all":true,"targets":[]}`, "null", "known: 0 false 0"},
	{"known empty", `{"rev":41,"all":true,"targets":[]}`, "{}", "known: 0 false 0"},
	{"known with a server", `"targets":[]`, `"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"in_service"}]`, "known: 41 true 1"},
	{"settings null", nodetest.GoodSettings, "null", `connect: 1s
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
	{"connect_timeout below 0.1 ms", `"connect_timeout":250000`, `"connect_timeout":99`, "connect: 1s"},
	{"connect_timeout a number as a text", `"connect_timeout":250000`, `"connect_timeout":"250000"`, ""},
	{"connect_timeout a text", `"connect_timeout":250000`, `"connect_timeout":"soon"`, "connect: 1s"},
	{"connect_timeout true", `"connect_timeout":250000`, `"connect_timeout":true`, "connect: 1s"},
	{"connect_timeout null", `"connect_timeout":250000`, `"connect_timeout":null`, "connect: 1s"},
	{"conn_idle missing", `"conn_idle":15000000,`, "", "idle: 0s"},
	{"conn_idle with an exponent", `"conn_idle":15000000`, `"conn_idle":1.5e7`, ""},
	{"conn_idle a text", `"conn_idle":15000000`, `"conn_idle":"15 s"`, "idle: 0s"},
	{"three peers", `"peers":["127.0.0.5:7946"]`, threePeers, `duties: 2/3 8c1f30d27a5be964 0 4096 5s
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]`},
	{"probes allowed with one peer", `"slot_no":2,"limits":{`, `"slot_no":0,"limits":{"probes":true,`, `duties: 0/1 8c1f30d27a5be964 0 4096 5s
quota: 0/0 8c1f30d27a5be964 200 20ms`},
	{"peer_in_per_s", `"slot_no":2`, `"slot_no":2,"specifics":{"peer_in_per_s":40.5}`, "duties: 2/1 8c1f30d27a5be964 40.5 4096 5s"},
	{"peer_in_per_s a text", `"slot_no":2`, `"slot_no":2,"specifics":{"peer_in_per_s":"forty"}`, ""},
	{"services", `{"slot_no":2`, twoServices + `,"slot_no":2`, `authorization: 64 0s [{400ms false} {800ms false}] map[buy:1 look:0] <nil>
objectives: [400ms 800ms]
names: ["look" "buy"]
quota: 2/0 8c1f30d27a5be964 200 80ms`},
	{"services without slo", `{"slot_no":2`, `{"services":[{"name":"look"}],"slot_no":2`, `authorization: 64 0s [{0s false}] map[look:0] <nil>
objectives: [0s]
names: ["look"]`},
	{"services with invalid slo", `{"slot_no":2`, `{"services":[{"name":"look","slo":"x"},{"slo":-5},{"name":3,"slo":30000000}],"slot_no":2`, `authorization: 64 0s [{0s false} {0s false} {30s false}] map[:1 3:2 look:0] <nil>
objectives: [0s 0s 30s]
names: ["look" "" "3"]`},
	{"services empty", `{"slot_no":2`, `{"services":[],"slot_no":2`, ""},
	{"services of texts", `{"slot_no":2`, `{"services":["look","buy"],"slot_no":2`, ""},
	{"services an object", `{"slot_no":2`, `{"services":{"name":"look"},"slot_no":2`, ""},
	{"services as an object with a count", `{"slot_no":2`, `{"services":{"count":2,"0":{"name":"look","slo":400000}},"slot_no":2`, `authorization: 64 0s [{400ms false} {0s false}] map[:1 look:0] <nil>
objectives: [400ms 0s]
names: ["look" ""]`},
	{"retry_after", `"conn_idle"`, `"retry_after":true,"max_retry_after":2000000,"conn_idle"`, "authorization: 64 2s [] map[] <nil>"},
	{"retry_after false", `"conn_idle"`, `"retry_after":false,"max_retry_after":2000000,"conn_idle"`, ""},
	{"retry_after a number", `"conn_idle"`, `"retry_after":1,"max_retry_after":2000000,"conn_idle"`, ""},
	{"max_retry_after a text", `"conn_idle"`, `"retry_after":"true","max_retry_after":"2 s","conn_idle"`, ""},
}

// A change of the configuration's types or defaults must not change how a node reads a file, even one with values of an
// unexpected type.
func TestConfigurationValues(t *testing.T) {
	for _, test := range configCases {
		t.Run(test.name, func(t *testing.T) {
			conf := mustParse(t, strings.Replace(nodetest.GoodConfig, test.old, test.new, 1))
			if err := conf.ApplyOperator(operatorfile.Default()); err != nil {
				t.Fatalf("ApplyOperator of the default operator file: error %v, want none", err)
			}
			compareValues(t, conf, test.changes)
		})
	}
}

// operatorCases are operator files, and the values that differ from goodValues with each.
var operatorCases = []struct{ name, operator, changes string }{
	{"none", "", `authorization: 64 0s [{400ms false} {800ms false}] map[buy:1 look:0] <nil>
objectives: [400ms 800ms]
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
`, `authorization: 9 1.5s [{400ms false} {800ms true}] map[buy:1 look:0] <nil>
objectives: [400ms 800ms]
duties: 2/3 8c1f30d27a5be964 7.5 1024 250.5ms
grpc: true
idle: 20.5ms
names: ["look" "buy"]
operator: error "127.0.0.1:6379" "127.0.0.1:9001" ["buy"] "127.0.0.1:9002" 3
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]
quota: 2/0 8c1f30d27a5be964 17 80ms
shares: true`},
	{"fail_open names an unknown class", "[authz]\npass_open = [\"fly\"]\n", `authorization: 64 0s [{400ms false} {800ms false}] map[] authz.fail_open "fly": the platform's settings name look, buy
objectives: [400ms 800ms]
duties: 2/3 8c1f30d27a5be964 0 4096 5s
names: ["look" "buy"]
operator: info "" "" ["fly"] "" 256
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]
quota: 2/0 8c1f30d27a5be964 200 80ms`},
	{"latency objective of a class", "[[settings.band]]\nname = \"look\"\ncontract_ms = 10.0\n", `authorization: 64 0s [{10ms false} {800ms false}] map[buy:1 look:0] <nil>
objectives: [10ms 800ms]
duties: 2/3 8c1f30d27a5be964 0 4096 5s
names: ["look" "buy"]
peers: [127.0.0.5:7946 127.0.0.5:7947 127.0.0.4:7946]`},
}

// A change of the operator file's keys or defaults must not change how a node reads a file, with deprecated keys too.
func TestOperatorValues(t *testing.T) {
	text := strings.NewReplacer(`{"slot_no":2`, `{"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}],"slot_no":2`,
		`"peers":true`, `"peers":true,"probes":true`, `["127.0.0.5:7946"]`,
		`["127.0.0.5:7946","127.0.0.5:7947","127.0.0.4:7946"]`).Replace(nodetest.GoodConfig)
	for _, test := range operatorCases {
		t.Run(test.name, func(t *testing.T) {
			conf := mustParse(t, text)
			file, keyErrors := operatorfile.Parse(test.operator)
			if len(keyErrors) > 0 {
				t.Fatalf("operatorfile.Parse(%q): errors %v, want none", test.operator, keyErrors)
			}
			if err := conf.ApplyOperator(file); err != nil {
				t.Fatalf("ApplyOperator(%q): error %v, want none", test.operator, err)
			}
			compareValues(t, conf, test.changes)
		})
	}
}

// GW_NAME, GW_LISTEN and GW_DISCOVERY must take precedence over the file unless they are empty, and no other variable may. A
// reload needs the file's own discovery address, so GW_DISCOVERY must not replace that.
func TestEnvironmentPrecedence(t *testing.T) {
	for _, test := range []struct{ name, env, want string }{
		{"none", "", "n3 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
		{"GW_NAME", "GW_NAME=other", "other 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
		{"GW_LISTEN", "GW_LISTEN=127.0.0.7:80", "n3 127.0.0.7:80 127.0.0.9:8500 127.0.0.9:8500"},
		{"GW_DISCOVERY", "GW_DISCOVERY=127.0.0.7:81", "n3 127.0.0.4:9000 127.0.0.7:81 127.0.0.9:8500"},
		{"all", "GW_NAME=o GW_LISTEN=127.0.0.7:80 GW_DISCOVERY=127.0.0.7:81", "o 127.0.0.7:80 127.0.0.7:81 127.0.0.9:8500"},
		{"empty variables", "GW_NAME= GW_LISTEN= GW_DISCOVERY=", "n3 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
		{"unrelated variables", "GW_SEED=7 GW_PEER_LISTEN=127.0.0.7:82 NAME=x", "n3 127.0.0.4:9000 127.0.0.9:8500 127.0.0.9:8500"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			nodetest.WriteFile(t, file, nodetest.GoodConfig)
			for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"} {
				t.Setenv(name, "")
			}
			t.Setenv("GW_CONFIG", file)
			for _, assignment := range strings.Fields(test.env) {
				name, value, _ := strings.Cut(assignment, "=")
				t.Setenv(name, value)
			}
			conf, err := loadConfig()
			if err != nil {
				t.Fatalf("loadConfig() with %q: error %v, want none", test.env, err)
			}
			if got := fmt.Sprint(conf.Name, " ", conf.Listen, " ", conf.Discovery, " ", conf.fileDiscovery); got != test.want {
				t.Errorf("loadConfig() with %q read the name and addresses %s, want %s", test.env, got, test.want)
			}
		})
	}
}
