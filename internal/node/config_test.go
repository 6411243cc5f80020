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

// A key of the platform's configuration must not be lost or read in another unit, and GW_LISTEN must override the file.
func TestConfigurationIsRead(t *testing.T) {
	c, err := parseConfig([]byte(nodetest.GoodConfig), func(name string) string {
		return map[string]string{"GW_LISTEN": "127.0.0.7:80"}[name]
	})
	if err != nil {
		t.Fatalf("parseConfig(GoodConfig) with GW_LISTEN=127.0.0.7:80: error %v, want none", err)
	}
	limits := c.socketLimits()
	if c.Listen != "127.0.0.7:80" || c.randomSeed != 0x8c1f30d27a5be964 || c.knownList.Revision != 41 || c.settings.Node.String() != "2" ||
		limits.ServerIdleTimeout != 15*time.Second || limits.ConnectTimeout != 250*time.Millisecond || limits.MaxDescriptors != 1024 {
		t.Errorf("parseConfig(GoodConfig) with GW_LISTEN=127.0.0.7:80: listen %s, seed %x, revision %d, slot_no %v, idle timeout %v, "+
			"connect timeout %v, %d sockets; want listen 127.0.0.7:80, seed 8c1f30d27a5be964, revision 41, slot_no 2, idle timeout 15s, "+
			"connect timeout 250ms, 1024 sockets", c.Listen, c.randomSeed, c.knownList.Revision, c.settings.Node,
			limits.ServerIdleTimeout, limits.ConnectTimeout, limits.MaxDescriptors)
	}
}

// A malformed endpoint list in the platform's file must not prevent a start or a reload's switch of discovery, because discovery
// sends the list anyway. Any other malformed value must prevent both. LoadPlatformFile must reject a malformed
// endpoint list too.
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
				t.Errorf("loadConfig() = %+v, %v, want no error, but knownListErr set, no endpoints and slot_no 2", c, err)
			}
			wantReload(t, current, "")
			nodetest.WriteFile(t, file, strings.Replace(text, "9:8500", "8:8500", 1))
			wantReload(t, current, "127.0.0.8:8500")
			nodetest.WriteFile(t, file, text)
			if _, err := LoadPlatformFile(file); err == nil {
				t.Errorf("LoadPlatformFile() with the invalid value %s of the key known returned no error, want one", known)
			}
			nodetest.WriteFile(t, file, strings.Replace(text, "8c1f30d27a5be964", "seed", 1))
			if _, err := loadConfig(); err == nil {
				t.Errorf("loadConfig() with an invalid seed returned no error, want one")
			}
			if next, err := current.reload(func(string) { t.Error("reload with invalid seed switched discovery, want no switch") }); err == nil || next != current {
				t.Errorf("reload with an invalid seed: error %v, configuration replaced: %v; want an error and no replacement", err, next != current)
			}
		})
	}
}

// wantReload reloads a configuration whose known list is malformed. It checks that the reload succeeds and switches discovery to
// the address want, or does not switch if want is empty.
func wantReload(t *testing.T, current *Config, want string) {
	t.Helper()
	switchedTo := ""
	next, err := current.reload(func(address string) { switchedTo += address })
	if err != nil || switchedTo != want || next.knownListErr == nil || next.settings.Node.String() != "2" {
		t.Errorf("reload with a malformed known list: error %v, want none; discovery switched to %q, want %q (empty for no switch); "+
			"knownListErr %v, want an error; slot_no %v, want 2", err, switchedTo, want, next.knownListErr, next.settings.Node)
	}
}

// A reload of a file with an invalid value must change nothing. A reload of a valid file must switch discovery only if the
// address has changed.
func TestReloadAppliesOnlyValidFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(EnvConfig, file)
	current, err := parseConfig([]byte(nodetest.GoodConfig), os.Getenv)
	if err != nil {
		t.Fatalf("parseConfig(GoodConfig): error %v, want none", err)
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
			t.Errorf("reload of %s switched discovery to %q, want %q (empty for no switch); error %v, want an error: %v; returned no "+
				"configuration: %v, want false; configuration replaced: %v, want no replacement after an error",
				text, switchedTo, want, err, want == "" && text != nodetest.GoodConfig, next == nil, next != current)
		}
	}
}

// An operator reads the error of a malformed configuration as one line, so it must not contain a line break.
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
			t.Errorf("parseConfig() with %.30q replaced by %.30q: error %v, want an error of one line", test[0], test[1], err)
		}
	}
}

// The operator file's settings must take precedence over the platform's, also in the shadow settings. The error for a class
// that the platform does not name must contain the name.
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
			t.Fatalf("operatorfile.Parse(%q): errors %v, want none", test.operator, keyErrors)
		}
		err := conf.ApplyOperator(file)
		if test.wantErr != "" {
			if err == nil || err.Error() != test.wantErr {
				t.Errorf("ApplyOperator(%q) = %v, want %s", test.operator, err, test.wantErr)
			}
			continue
		}
		shadow := settings.RetrySafety("")
		if conf.shadowSettings != nil {
			shadow = conf.shadowSettings.Classes.At(0).RetrySafety
		}
		if got := conf.settings.Classes.At(0).RetrySafety; err != nil || got != test.wantRetrySafety || shadow != test.wantShadow {
			t.Errorf("ApplyOperator(%q) = %v with retry safety %q, shadow %q, want no error, %q, shadow %q",
				test.operator, err, got, shadow, test.wantRetrySafety, test.wantShadow)
		}
	}
}

// A node must not share health checks that the operator file does not enable, or that the platform does not allow. It must not
// share them either without peer messages, or with a node number outside the list of peers.
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
			t.Fatalf("ApplyOperator with %q replaced by %q, enabled %v: error %v, want none", test.old, test.new, test.enabled, err)
		}
		if conf.sharesHealthChecks() != test.want {
			t.Errorf("sharesHealthChecks() with %q replaced by %q, enabled %v = %v, want %v", test.old, test.new, test.enabled, !test.want, test.want)
		}
		if healthChecks := conf.healthCheckConfig(); i == 0 && (healthChecks.Self != 2 || healthChecks.Nodes != 3 || healthChecks.SendRate != 4096 || healthChecks.Interval != 5*time.Second) {
			t.Errorf("healthCheckConfig() = %+v, want Self 2, Nodes 3, SendRate 4096 and Interval 5s", healthChecks)
		}
	}
}

// Callers examine the error of an invalid value by its type, so the error must keep the key and the cause.
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
			t.Errorf("parseConfig() with %s replaced by %s: error %v (%T), want a keyError for key %q with cause %v (<nil> for any cause)",
				test.old, test.new, err, err, test.key, test.cause)
		}
		if isKnownListError(err) != (test.key == keyKnown) {
			t.Errorf("isKnownListError(%v) = %v, want %v", err, isKnownListError(err), test.key == keyKnown)
		}
	}
	t.Setenv(EnvConfig, "")
	if _, err := loadConfig(); !errors.Is(err, errNoConfigPath) {
		t.Errorf("loadConfig() with an empty %s: error %v, want %v", EnvConfig, err, errNoConfigPath)
	}
}
