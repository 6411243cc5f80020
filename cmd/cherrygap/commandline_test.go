package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"cherrygap/internal/node"
)

// commandLineItems lists a command, its flags with types and defaults, and all commands below it, as one text each.
func commandLineItems(cmd *cobra.Command) (lines []string) {
	line := cmd.CommandPath()
	if cmd.Hidden {
		line += " (hidden)"
	}
	lines = append(lines, line)
	cmd.LocalFlags().VisitAll(func(f *pflag.Flag) {
		lines = append(lines, fmt.Sprintf("%s --%s %s=%s", cmd.CommandPath(), f.Name, f.Value.Type(), f.DefValue))
	})
	for _, sub := range cmd.Commands() {
		lines = append(lines, commandLineItems(sub)...)
	}
	return lines
}

// A command or flag that disappears, or whose default changes, breaks operators' scripts. So does a renamed one without its old
// name. New ones are added to the lists below.
func TestCommandLine(t *testing.T) {
	t.Setenv(node.EnvOperator, "")
	want := strings.Split(strings.TrimSpace(firstReleaseItems+strings.TrimLeft(laterItems, "\n")), "\n")
	want = append(want, grpcItems...)
	got := commandLineItems(newRootCommand())
	for _, l := range want {
		if !slices.Contains(got, l) {
			t.Errorf("command line has no %q, want every listed command and flag", l)
		}
	}
	for _, l := range got {
		if !slices.Contains(want, l) {
			t.Errorf("command line has %q, want only the listed commands and flags", l)
		}
	}
}

// firstReleaseItems lists the commands and flags of the first release.
const firstReleaseItems = `
cherrygap
cherrygap --operator string=
cherrygap config
cherrygap config check
cherrygap lab
cherrygap lab duties
cherrygap lab duties --for duration=2m0s
cherrygap lab duties --nodes int=80
cherrygap lab duties --scenario string=vanish
cherrygap lab duties --seed uint64=1
cherrygap lab duties --servers int=60
cherrygap lab duties --take float64=40
cherrygap lab emulate
cherrygap lab emulate --for duration=0s
cherrygap lab emulate --listen string=127.0.0.1:0
cherrygap lab emulate --schedule string=
cherrygap lab emulate --seed uint64=1
cherrygap lab emulate --servers int=4
cherrygap lab load
cherrygap lab load --duration float64=10
cherrygap lab load --rate float64=200
cherrygap lab load --seed uint64=1
cherrygap lab load --series string=
cherrygap lab load --target string=127.0.0.1:8080
cherrygap lab model
cherrygap lab model --customers int=50
cherrygap lab model --nodes int=10
cherrygap lab model --policy string=module
cherrygap lab model --rate float64=1000
cherrygap lab model --schedule string=
cherrygap lab model --seconds float64=60
cherrygap lab model --seed uint64=1
cherrygap lab model --series string=
cherrygap lab model --servers int=20
cherrygap lab model --settings string=
cherrygap lab model --spread int=1
cherrygap lab report
cherrygap lab report --out string=report
cherrygap lab report --title string=cherrygap lab
cherrygap lab scale
cherrygap lab scale --dir string=
cherrygap lab scale --for duration=1m0s
cherrygap lab scale --hard duration=0s
cherrygap lab scale --hollow int=-1
cherrygap lab scale --hollow-rate float64=2
cherrygap lab scale --memory-mb int=192
cherrygap lab scale --nodes int=830
cherrygap lab scale --rate float64=85
cherrygap lab scale --real int=3
cherrygap lab scale --seed uint64=1
cherrygap lab scale --servers int=13000
cherrygap lab scale --sockets int=1024
cherrygap lab scale --straight float64=0.2
cherrygap lab scale --take float64=100
cherrygap lab scale --tenants int=43000
cherrygap lab scale --trouble stringSlice=[]
cherrygap lab scale-nodes (hidden)
cherrygap lab scale-servers (hidden)
cherrygap lab scale-servers --many int=1
cherrygap lab scale-servers --seed uint64=1
cherrygap lab store
cherrygap lab store --for duration=0s
cherrygap lab store --listen string=127.0.0.1:0
cherrygap lab store --schedule string=
cherrygap lab store --seed uint64=1
cherrygap serve
cherrygap version
`

// laterItems lists the commands and flags that were added after the first release, including new names of older ones.
const laterItems = `
cherrygap lab duties --peer-rate float64=40
cherrygap lab health-checks
cherrygap lab health-checks --for duration=2m0s
cherrygap lab health-checks --nodes int=80
cherrygap lab health-checks --peer-rate float64=40
cherrygap lab health-checks --scenario string=vanish
cherrygap lab health-checks --seed uint64=1
cherrygap lab health-checks --servers int=60
cherrygap lab scale --direct float64=0.2
cherrygap lab scale --fault stringSlice=[]
cherrygap lab scale --peer-rate float64=100
cherrygap lab scale --simulated int=-1
cherrygap lab scale --simulated-rate float64=2
cherrygap lab scale --time-limit duration=0s
cherrygap lab scale-servers --count int=1
cherrygap lab scale-simulated-nodes (hidden)
cherrygap lab soak
cherrygap lab soak --dir string=
cherrygap lab soak --fault stringSlice=[]
cherrygap lab soak --for duration=30s
cherrygap lab soak --nodes int=24
cherrygap lab soak --rate float64=16
cherrygap lab soak --seed uint64=1
cherrygap lab soak --servers int=16
cherrygap lab soak-node (hidden)
`

// deprecatedName is a command line with a deprecated name. It prints notice and then errorText, which may be empty, on standard
// error.
type deprecatedName struct{ args, notice, errorText string }

// realRangeError is the error of lab scale --real 0, which the command returns before it starts anything.
const realRangeError = "cherrygap: real: 0 is out of range: 1 to 64 nodes\n"

var deprecatedNames = []deprecatedName{
	{"lab duties --nodes 2 --servers 1 --for 1s", "Command \"duties\" is deprecated, write lab health-checks\n", ""},
	{
		"lab duties --nodes 2 --servers 1 --for 1s --take 9",
		"Command \"duties\" is deprecated, write lab health-checks\nFlag --take has been deprecated, write --peer-rate\n", "",
	},
	{"lab scale --hollow 1 --real 0", "Flag --hollow has been deprecated, write --simulated\n", realRangeError},
	{"lab scale --hollow-rate 1 --real 0", "Flag --hollow-rate has been deprecated, write --simulated-rate\n", realRangeError},
	{"lab scale --straight 0.1 --real 0", "Flag --straight has been deprecated, write --direct\n", realRangeError},
	{"lab scale --take 1 --real 0", "Flag --take has been deprecated, write --peer-rate\n", realRangeError},
	{"lab scale --hard 1m --real 0", "Flag --hard has been deprecated, write --time-limit\n", realRangeError},
	{"lab scale --trouble roll --real 0", "Flag --trouble has been deprecated, write --fault\n", realRangeError},
	{"lab scale-servers --many 1 --seed 1", "Flag --many has been deprecated, write --count\n", ""},
	{"lab scale-nodes", "Command \"scale-nodes\" is deprecated, write lab scale-simulated-nodes\n", "cherrygap: EOF\n"},
}

// A deprecated name must keep working, and must print its replacement on standard error. A command that succeeds also prints its
// result on standard output.
func TestDeprecatedNames(t *testing.T) {
	for _, c := range append(grpcDeprecatedNames, deprecatedNames...) {
		t.Run(c.args, func(t *testing.T) {
			cmd := programCommand(t, t.TempDir(), nil, strings.Fields(c.args)...) // Its standard input is empty.
			var errOut strings.Builder
			cmd.Stderr = &errOut
			out, err := cmd.Output()
			if errOut.String() != c.notice+c.errorText || (err != nil) != (c.errorText != "") || err == nil && len(out) == 0 {
				t.Errorf("%s: standard error %q, want %q; error %v, want an error: %v; output %q, want a non-empty one without an error",
					c.args, errOut.String(), c.notice+c.errorText, err, c.errorText != "", out)
			}
		})
	}
}

// A deprecated flag must set the value of its replacement. Of both names, the last one on the command line takes effect.
func TestDeprecatedFlagSetsTheValue(t *testing.T) {
	flags, value := pflag.NewFlagSet("", pflag.ContinueOnError), 0
	flags.IntVar(&value, "new", 7, "")
	addDeprecatedFlag(flags, "old", "new")
	for _, c := range []struct {
		args string
		want int
	}{{"", 7}, {"--old 8", 8}, {"--new 9", 9}, {"--new 9 --old 8", 8}, {"--old 8 --new 9", 9}} {
		value = 7
		flags.SetOutput(io.Discard)
		if err := flags.Parse(strings.Fields(c.args)); err != nil || value != c.want {
			t.Errorf("parsing %q sets %d with error %v, want %d and no error", c.args, value, err, c.want)
		}
	}
}

// Programs read the JSON lines that the lab's commands print, and a changed key would break them. The laboratory's packages test
// the lines that they write themselves.
func TestLabOutputKeys(t *testing.T) {
	for _, c := range append(grpcLabOutput, []struct{ args, want string }{
		{"lab emulate --servers 2 --for 20ms", "faults servers|stats"},
		{"lab store --for 20ms", "faults store|applied"},
	}...) {
		t.Run(c.args, func(t *testing.T) {
			out, _, err := executeCommand(strings.Fields(c.args)...)
			if err != nil {
				t.Fatalf("%s: error %v, want none", c.args, err)
			}
			var lines []string
			for line := range strings.Lines(out) {
				var keys map[string]any
				if err := json.Unmarshal([]byte(line), &keys); err != nil {
					t.Fatalf("%s printed %q, want a JSON object: %v", c.args, line, err)
				}
				lines = append(lines, strings.Join(slices.Sorted(maps.Keys(keys)), " "))
			}
			if got := strings.Join(lines, "|"); got != c.want {
				t.Errorf("%s: keys of the output lines %q, want %q", c.args, got, c.want)
			}
		})
	}
}
