package node

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

func TestConfigurationIsRead(t *testing.T) {
	c, err := parseConfig([]byte(nodetest.GoodConfig), func(name string) string {
		return map[string]string{"GW_LISTEN": "127.0.0.7:80"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	limits := c.socketLimits()
	if c.Listen != "127.0.0.7:80" || c.randomSeed != 0x8c1f30d27a5be964 || c.knownList.Revision != 41 || c.settings.Node.String() != "2" ||
		limits.ServerIdleTimeout != 15*time.Second || limits.ConnectTimeout != 250*time.Millisecond || limits.Sockets != 1024 {
		t.Errorf("read as %+v, limits %+v", c, limits)
	}
}

// A malformed endpoint list prevents neither a start nor a reload's change of discovery. Any other malformed value does, and
// the check of a file rejects both.
func TestMalformedKnownListDoesNotPreventStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, file)
	current := mustParse(t, nodetest.GoodConfig)
	for _, known := range []string{
		`7`, `{"rev":"x"}`, `{"rev":1,"targets":[{"uid":"s","state":"later"}]}`,
		`{"rev":1,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"in_service","pod_group":70000}]}`,
	} {
		t.Run(known, func(t *testing.T) {
			text := strings.Replace(nodetest.GoodConfig, `{"rev":41,"all":true,"targets":[]}`, known, 1)
			nodetest.WriteFile(t, file, text)
			if c, err := loadConfig(); err != nil || c.knownListErr == nil || len(c.knownList.Endpoints) > 0 || c.settings.Node.String() != "2" {
				t.Errorf("%v", err)
			}
			wantReload(t, current, "")
			nodetest.WriteFile(t, file, strings.Replace(text, "9:8500", "8:8500", 1))
			wantReload(t, current, "127.0.0.8:8500")
			nodetest.WriteFile(t, file, text)
			if _, err := LoadPlatformFile(file); err == nil {
				t.Errorf("passes the check")
			}
			nodetest.WriteFile(t, file, strings.Replace(text, "8c1f30d27a5be964", "seed", 1))
			if _, err := loadConfig(); err == nil {
				t.Errorf("started without a seed")
			}
			if next, err := current.reload(func(string) { t.Error("moved") }); err == nil || next != current {
				t.Errorf("taken on SIGHUP without a seed")
			}
		})
	}
}

// wantReload reloads a configuration whose known list can't be read, and checks where that moves discovery to.
func wantReload(t *testing.T, current *Config, want string) {
	t.Helper()
	switchedTo := ""
	next, err := current.reload(func(address string) { switchedTo += address })
	if err != nil || switchedTo != want || next.knownListErr == nil || next.settings.Node.String() != "2" {
		t.Errorf("on SIGHUP: moved to %q, want %q, %v", switchedTo, want, err)
	}
}

// A reload changes nothing unless the complete file is valid, and moves discovery only to another address.
func TestReloadAppliesOnlyValidFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, file)
	current, err := parseConfig([]byte(nodetest.GoodConfig), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		strings.Replace(nodetest.GoodConfig, "9:8500", "8:8500", 1):                                          "127.0.0.8:8500",
		strings.NewReplacer("9:8500", "8:8500", "8c1f30d27a5be964", "seed").Replace(nodetest.GoodConfig):     "",
		strings.NewReplacer("9:8500", "8:8500", `"settings":{`, `"settings":[`).Replace(nodetest.GoodConfig): "",
		strings.Replace(nodetest.GoodConfig, "127.0.0.9:8500", "there", 1):                                   "",
		nodetest.GoodConfig: "",
	} {
		nodetest.WriteFile(t, file, text)
		switchedTo := ""
		next, err := current.reload(func(addr string) { switchedTo = addr })
		if switchedTo != want || (err != nil) != (want == "" && text != nodetest.GoodConfig) || next == nil || err != nil && next != current {
			t.Errorf("moved to %q, want %q: %v", switchedTo, want, err)
		}
	}
}

func TestMalformedConfigurationErrorIsOneLine(t *testing.T) {
	for _, test := range [][2]string{
		{nodetest.GoodConfig, ""},
		{`"127.0.0.4:9000"`, `"here"`},
		{"8c1f30d27a5be964", "seed"},
		{"192", "0"},
		{`"rev":41`, `"rev":"x"`},
		{`"127.0.0.5:7946"`, `"peer"`},
		{`"settings":{`, `"settings":[{`},
	} {
		_, err := parseConfig([]byte(strings.Replace(nodetest.GoodConfig, test[0], test[1], 1)), noEnv)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.30q for %.30q: %v", test[1], test[0], err)
		}
	}
}

// The operator file's settings take precedence over the platform's. A class that the platform does not name is an error that
// contains the name.
func TestOperatorSettings(t *testing.T) {
	text := strings.Replace(nodetest.GoodConfig, `"slot_no":2`, `"slot_no":2,"services":[{"name":"seats","semantics":"at_most_once"}]`, 1)
	for _, test := range []struct {
		operator                    string
		wantRetrySafety, wantShadow settings.RetrySafety
		wantErr                     string
	}{
		{"", settings.RetryUnsafe, "", ""},
		{"[[settings.band]]\nname = \"seats\"\nrepeats = \"replayable\"\n", settings.RetrySafe, "", ""},
		{"[watch.settings]\nexecutions = 2\n", settings.RetryUnsafe, "", ""},
		{"[watch]\non = true\n[[watch.settings.band]]\nname = \"seats\"\nrepeats = \"referenced\"\n", settings.RetryUnsafe, settings.RetryKeyed, ""},
		{"[[settings.band]]\nname = \"other\"\nrepeats = \"replayable\"\n", "", "", "settings: band \"other\": the platform's settings name seats"},
	} {
		conf := mustParse(t, text)
		file, keyErrors := operatorfile.Parse(test.operator)
		if len(keyErrors) > 0 {
			t.Fatal(keyErrors)
		}
		err := conf.ApplyOperator(file)
		if test.wantErr != "" {
			if err == nil || err.Error() != test.wantErr {
				t.Errorf("%q: %v", test.operator, err)
			}
			continue
		}
		shadow := settings.RetrySafety("")
		if conf.shadowSettings != nil {
			shadow = conf.shadowSettings.Classes.At(0).RetrySafety
		}
		if got := conf.settings.Classes.At(0).RetrySafety; err != nil || got != test.wantRetrySafety || shadow != test.wantShadow {
			t.Errorf("%q: %v, %v, shadow %v", test.operator, err, got, shadow)
		}
	}
}

// A node shares health checks only where the operators enable them and the platform allows health checks and peer messages.
func TestHealthChecksNeedThePlatformsPermission(t *testing.T) {
	text := strings.NewReplacer(`"peers":true`, `"peers":true,"probes":true`, `["127.0.0.5:7946"]`,
		`["127.0.0.5:7946","127.0.0.5:7947","127.0.0.4:7946"]`).Replace(nodetest.GoodConfig)
	for i, test := range []struct {
		old, new      string
		enabled, want bool
	}{
		{"", "", true, true},
		{"", "", false, false},
		{`"probes":true`, `"probes":false`, true, false},
		{`"peers":true`, `"peers":false`, true, false},
		{`"slot_no":2`, `"slot_no":3`, true, false},
	} {
		conf := mustParse(t, strings.Replace(text, test.old, test.new, 1))
		file := operatorfile.Default()
		file.HealthChecks.Enabled = test.enabled
		if err := conf.ApplyOperator(file); err != nil {
			t.Fatal(err)
		}
		if conf.sharesHealthChecks() != test.want {
			t.Errorf("%d: shares %v", i, !test.want)
		}
		if healthChecks := conf.healthCheckConfig(); i == 0 && (healthChecks.Self != 2 || healthChecks.Nodes != 3 || healthChecks.SendRate != 4096 || healthChecks.Interval != 5*time.Second) {
			t.Errorf("configured as %+v", healthChecks)
		}
	}
}

// An error on a key has a type with the key and the cause.
func TestConfigurationErrorTypes(t *testing.T) {
	for _, test := range []struct {
		old, new, key string
		cause         error
	}{
		{`"127.0.0.4:9000"`, `"here"`, "listen", nil},
		{"8c1f30d27a5be964", "seed", "seed", strconv.ErrSyntax},
		{"8c1f30d27a5be964", "18c1f30d27a5be964", "seed", strconv.ErrRange},
		{`"sockets":1024`, `"sockets":0`, "limits", errLimitNotPositive},
		{`"rev":41`, `"rev":"x"`, keyKnown, protocol.ErrMalformedList},
	} {
		_, err := parseConfig([]byte(strings.Replace(nodetest.GoodConfig, test.old, test.new, 1)), noEnv)
		var keyErr *keyError
		if !errors.As(err, &keyErr) || keyErr.key != test.key || test.cause != nil && !errors.Is(err, test.cause) {
			t.Errorf("%s: %#v", test.key, err)
		}
		if isKnownListError(err) != (test.key == keyKnown) {
			t.Errorf("%s: taken for an error of the known list, or not", test.key)
		}
	}
	t.Setenv(EnvConfig, "")
	if _, err := loadConfig(); !errors.Is(err, errNoConfigPath) {
		t.Error(err)
	}
}
