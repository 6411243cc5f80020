package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cherrygap/internal/node/nodetest"
)

// Parts of the error lines that malformedConfigs expects.
const (
	limitsError       = "limits: cores, memory_mb and sockets must be above 0"
	numberErrorPrefix = "json: cannot unmarshal number into Go struct field config."
	limitsType        = `struct { Cores float64 "json:\"cores\""; MemoryMB int "json:\"memory_mb\""; Sockets int "json:\"sockets\"" }`
)

// malformedConfigs are configurations in which new replaces the part old of nodetest.GoodConfig. The error of such a
// configuration is want.
var malformedConfigs = []struct{ name, old, new, want string }{
	{"not JSON", nodetest.GoodConfig, "{", "unexpected end of JSON input"},
	{"empty", nodetest.GoodConfig, "", "unexpected end of JSON input"},
	{"a list", nodetest.GoodConfig, "[]", "json: cannot unmarshal array into Go value of type main.config"},
	{"text after the object", nodetest.GoodConfig, nodetest.GoodConfig + "x", "invalid character 'x' after top-level value"},
	{"name a number", `"n3"`, "3", numberErrorPrefix + "name of type string"},
	{"listen missing", `"listen":"127.0.0.4:9000",`, "", "listen: not an ip:port"},
	{"listen a number", `"127.0.0.4:9000"`, "9000", numberErrorPrefix + "listen of type string"},
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
	{"seed a number", `"8c1f30d27a5be964"`, "7", numberErrorPrefix + "seed of type string"},
	{"seed not hexadecimal", "8c1f30d27a5be964", "seed", `seed: strconv.ParseUint: parsing "seed": invalid syntax`},
	{
		"seed too long", "8c1f30d27a5be964", "18c1f30d27a5be964",
		`seed: strconv.ParseUint: parsing "18c1f30d27a5be964": value out of range`,
	},
	{"seed with a prefix", "8c1f30d27a5be964", "0x8c1f", `seed: strconv.ParseUint: parsing "0x8c1f": invalid syntax`},
	{"seed negative", "8c1f30d27a5be964", "-1", `seed: strconv.ParseUint: parsing "-1": invalid syntax`},
	{"limits missing", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", limitsError},
	{
		"limits a list", `{"cores":1.0,"memory_mb":192,"sockets":1024}`, "[]",
		"json: cannot unmarshal array into Go struct field config.limits of type " + limitsType,
	},
	{"cores zero", `"cores":1.0`, `"cores":0`, limitsError},
	{"cores negative", `"cores":1.0`, `"cores":-1`, limitsError},
	{
		"cores a text", `"cores":1.0`, `"cores":"1"`,
		"json: cannot unmarshal string into Go struct field .limits.cores of type float64",
	},
	{
		"cores too large", `"cores":1.0`, `"cores":1e999`,
		"json: cannot unmarshal number 1e999 into Go struct field .limits.cores of type float64",
	},
	{"memory zero", `"memory_mb":192`, `"memory_mb":0`, limitsError},
	{
		"memory a fraction", `"memory_mb":192`, `"memory_mb":192.5`,
		"json: cannot unmarshal number 192.5 into Go struct field .limits.memory_mb of type int",
	},
	{
		"memory too large", `"memory_mb":192`, `"memory_mb":99999999999999999999`,
		"json: cannot unmarshal number 99999999999999999999 into Go struct field .limits.memory_mb of type int",
	},
	{"sockets missing", `,"sockets":1024`, "", limitsError},
	{"sockets negative", `"sockets":1024`, `"sockets":-1`, limitsError},
	{
		"sockets a text", `"sockets":1024`, `"sockets":"1024"`,
		"json: cannot unmarshal string into Go struct field .limits.sockets of type int",
	},
	{"peer_listen a name", `"127.0.0.4:7946"`, `"here"`, "not an ip:port"},
	{"peer_listen a number", `"127.0.0.4:7946"`, "7946", numberErrorPrefix + "peer_listen of type netip.AddrPort"},
	{
		"peers a text", `["127.0.0.5:7946"]`, `"127.0.0.5:7946"`,
		"json: cannot unmarshal string into Go struct field config.peers of type []netip.AddrPort",
	},
	{"peers with a name", `["127.0.0.5:7946"]`, `["127.0.0.5:7946","peer"]`, "not an ip:port"},
	{"peers with a number", `["127.0.0.5:7946"]`, "[7]", numberErrorPrefix + "peers of type netip.AddrPort"},
	{"peers_all a name", "127.0.0.6:7946", "all", "not an ip:port"},
	{"settings missing", ",\n\t\"settings\":" + nodetest.GoodSettings, "", "settings: EOF"},
	{"settings a list", nodetest.GoodSettings, "[]", "settings: json: cannot unmarshal array into Go value of type map[string]interface {}"},
	{"settings a text", nodetest.GoodSettings, `"x"`, "settings: json: cannot unmarshal string into Go value of type map[string]interface {}"},
}

// A malformed configuration must give one line on standard error and exit code 2. A start and `config check` must give the
// same text, so that operators find an error before they deploy the configuration.
func TestConfigurationErrorLines(t *testing.T) {
	for _, c := range malformedConfigs {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			good := nodetest.GoodConfig
			if !strings.Contains(good, c.old) {
				t.Fatalf("the good configuration has no part %q, want one that the case can replace", c.old)
			}
			dir := t.TempDir()
			nodetest.WriteFile(t, filepath.Join(dir, "config.json"), strings.Replace(nodetest.GoodConfig, c.old, c.new, 1))
			for _, run := range []struct {
				want string
				cmd  *exec.Cmd
			}{
				{"config.json: " + c.want + "\n", programCommand(t, dir, nil, "config", "check", "config.json")},
				{"cherrygap: config.json: " + c.want + "\n", programCommand(t, dir, []string{"GW_CONFIG=config.json"})},
			} {
				out, err := run.cmd.CombinedOutput()
				if code := run.cmd.ProcessState.ExitCode(); string(out) != run.want || code != 2 {
					t.Errorf("command line %q: output %q, exit code %d, error %v, want %q and exit code 2", run.cmd.Args[1:], out, code, err, run.want)
				}
			}
		})
	}
}

// badOperatorFileErrors is the error text for bad.toml.
const badOperatorFileErrors = "bad.toml: line 2: log.level: \"loud\" is none of debug, info, warn, error\n" +
	"bad.toml: line 3: nothing: no such key\nbad.toml: line 4: nothing.x: no such key\n"

// commandOutputs are command lines with the environment, output and exit code of each.
var commandOutputs = []struct {
	name, args string
	env        []string
	want       string
	code       int
}{
	{"no configuration named", "", nil, "cherrygap: GW_CONFIG is not set\n", 2},
	{"no such configuration", "serve", []string{"GW_CONFIG=none.json"}, "cherrygap: open none.json: no such file or directory\n", 2},
	{"configuration is a directory", "serve", []string{"GW_CONFIG=."}, "cherrygap: read .: is a directory\n", 2},
	{"GW_LISTEN malformed", "serve", []string{"GW_CONFIG=good.json", "GW_LISTEN=here"}, "cherrygap: good.json: listen: not an ip:port\n", 2},
	{
		"GW_DISCOVERY malformed", "serve",
		[]string{"GW_CONFIG=good.json", "GW_DISCOVERY=127.0.0.1:x"},
		"cherrygap: good.json: discovery: invalid port \"x\" parsing \"127.0.0.1:x\"\n", 2,
	},
	{
		"configuration null, addresses from the environment", "serve",
		[]string{"GW_CONFIG=null.json", "GW_LISTEN=127.0.0.1:0", "GW_DISCOVERY=127.0.0.1:1"},
		"cherrygap: null.json: seed: strconv.ParseUint: parsing \"\": invalid syntax\n", 2,
	},
	{"malformed operator file", "serve --operator bad.toml", []string{"GW_CONFIG=good.json"}, "cherrygap: " + badOperatorFileErrors, 2},
	{"malformed file in GW_OPERATOR", "", []string{"GW_CONFIG=good.json", "GW_OPERATOR=bad.toml"}, "cherrygap: " + badOperatorFileErrors, 2},
	{
		"no such operator file", "--operator none.toml",
		[]string{"GW_CONFIG=good.json"},
		"cherrygap: open none.toml: no such file or directory\n", 2,
	},
	{
		"unknown band", "--operator band.toml",
		[]string{"GW_CONFIG=good.json"},
		"cherrygap: settings: band \"other\": the platform's settings name \n", 2,
	},
	{
		"unknown plan", "--operator watch.toml",
		[]string{"GW_CONFIG=good.json"},
		"cherrygap: shadow.settings: plan \"other\": the platform's settings name \n", 2,
	},
	{"check of good files", "config check good.json good.toml", nil, "good.json: good\ngood.toml: good\n", 0},
	{"check of a malformed known list", "config check known.json", nil, "known.json: known: malformed list\n", 2},
	{"check of a known list with a malformed revision", "config check rev.json", nil, "rev.json: known: malformed list\n", 2},
	{"check of a known list with an unknown state", "config check state.json", nil, "state.json: known: malformed list\n", 2},
	{"check of good and malformed files", "config check bad.toml good.json none.toml none.json syntax.toml", nil, badOperatorFileErrors + "good.json: good\n" +
		"open none.toml: no such file or directory\nopen none.json: no such file or directory\n" +
		"syntax.toml: line 2: (syntax): expected '.' or ']' to end table name, but got '\\n' instead\n", 2},
	{"check without files", "config check", nil, "cherrygap: requires at least 1 arg(s), only received 0\n", 2},
	{"no such command", "server", nil, "cherrygap: unknown command \"server\" for \"cherrygap\"\n", 2},
	{"no such flag", "serve --fast", nil, "cherrygap: unknown flag: --fast\n", 2},
}

// Operators' tools read the output and exit code of a failed start and of `config check`, so both must stay. The cases are the
// kinds of files for `config check`, and starts that fail for other reasons than the platform configuration's text.
func TestStartErrorLines(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"good.json": nodetest.GoodConfig, "bad.toml": "[log]\nlevel = \"loud\"\n[nothing]\nx = 1\n",
		"good.toml": "[log]\nlevel = \"warn\"\n", "band.toml": "[[settings.band]]\nname = \"other\"\n",
		"watch.toml":  "[watch]\non = true\n[[watch.settings.plan]]\nname = \"other\"\nrate = 1.0\n",
		"known.json":  strings.Replace(nodetest.GoodConfig, `{"rev":41,"all":true,"targets":[]}`, "7", 1),
		"rev.json":    strings.Replace(nodetest.GoodConfig, `"rev":41`, `"rev":"x"`, 1),
		"state.json":  strings.Replace(nodetest.GoodConfig, `"targets":[]`, `"targets":[{"uid":"s","state":"later"}]`, 1),
		"syntax.toml": "[log\n", "null.json": "null",
	} {
		nodetest.WriteFile(t, filepath.Join(dir, name), text)
	}
	for _, c := range commandOutputs {
		t.Run(c.name, func(t *testing.T) {
			cmd := programCommand(t, dir, c.env, strings.Fields(c.args)...)
			out, err := cmd.CombinedOutput()
			if code := cmd.ProcessState.ExitCode(); string(out) != c.want || code != c.code {
				t.Errorf("command line %q: output %q, exit code %d, error %v, want %q and exit code %d", c.args, out, code, err, c.want, c.code)
			}
		})
	}
}
