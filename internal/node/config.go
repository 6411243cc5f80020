package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// Environment variables that a node reads. An empty value counts as an unset variable.
const (
	EnvConfig    = "GW_CONFIG"    // path of the platform's configuration
	EnvOperator  = "GW_OPERATOR"  // path of the operator file; means the same as the flag --operator
	envName      = "GW_NAME"      // overrides the key "name" of the configuration
	envListen    = "GW_LISTEN"    // overrides the key "listen"
	envDiscovery = "GW_DISCOVERY" // overrides the key "discovery" until a reload finds another address in the file
)

// Keys of the platform's configuration that keyError may name.
const (
	keyListen    = "listen"
	keyDiscovery = "discovery"
	keySeed      = "seed"
	keyLimits    = "limits"
	keyKnown     = "known"
	keySettings  = "settings"
)

// keyShadowSettings is the key of the operator file under which the shadow evaluation's settings stand.
const keyShadowSettings = "shadow.settings"

// config is the platform's configuration as it stands in the JSON file. Values of environment variables replace those of the
// file. The type keeps its name, because operators see it in errors of encoding/json.
type config struct {
	Name          string           `json:"name"`
	Listen        string           `json:"listen"`
	Discovery     string           `json:"discovery"`
	Seed          string           `json:"seed"` // hexadecimal number of at most 64 bits
	PeerListen    netip.AddrPort   `json:"peer_listen"`
	Peers         []netip.AddrPort `json:"peers"`     // addresses by node number
	PeerBroadcast netip.AddrPort   `json:"peers_all"` // address that reaches every node; zero if there is none
	Limits        struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	RawKnownList json.RawMessage `json:"known"`    // endpoint list in the format of the discovery service
	RawSettings  json.RawMessage `json:"settings"` // nested objects with the platform's key names
}

// configTypeName is the name of the type config in the text of notObjectError. Operators see this text, so it stays the same
// if the type's package or name changes.
const configTypeName = "main.config"

// Config is the configuration of one node: the platform's file and the operator file. LoadConfigAtStart and
// LoadPlatformFile return one, and ApplyOperator adds the operator file. A node frees the endpoint list in its Config, and
// changes nothing else.
type Config struct {
	config

	fileDiscovery  string                // discovery address in the file, even if GW_DISCOVERY overrides it
	randomSeed     uint64                // parsed value of Seed
	knownList      protocol.EndpointList // parsed RawKnownList, without its endpoints after releaseKnownList; empty if malformed or missing
	knownListErr   error                 // error of a malformed RawKnownList; nil if that is valid or missing
	settings       *settings.Settings    // platform's settings, overridden by those of the operator file
	shadowSettings *settings.Settings    // settings of the shadow evaluation; nil if it is disabled
	operator       operatorfile.File     // operator file; the zero value until ApplyOperator sets it
}

// keyError is an invalid value of a key in the platform's configuration or in the operator file's settings.
type keyError struct {
	key string
	err error
}

func (e *keyError) Error() string { return e.key + ": " + e.err.Error() }

func (e *keyError) Unwrap() error { return e.err }

// notObjectError is the error of a configuration that is valid JSON but not an object.
type notObjectError struct{ kind string } // kind of the JSON value, such as "array"

func (e *notObjectError) Error() string {
	return "json: cannot unmarshal " + e.kind + " into Go value of type " + configTypeName
}

// errLimitNotPositive is the error of a platform limit that is missing, zero or negative.
var errLimitNotPositive = errors.New("cores, memory_mb and sockets must be above 0")

// errNoConfigPath is the error of loading the configuration while GW_CONFIG is unset or empty.
var errNoConfigPath = errors.New(EnvConfig + " is not set")

// truncatedJSONText is the text of encoding/json's error for a truncated document.
const truncatedJSONText = "unexpected end of JSON input"

// loadConfig reads the configuration file that GW_CONFIG names, for a start or a reload. If only the endpoint list is
// malformed, loadConfig sets knownListErr and returns no error: discovery sends the list anyway, so a node can start without one.
func loadConfig() (*Config, error) {
	c, err := readConfig()
	if c != nil && isKnownListError(err) {
		c.knownListErr, err = err, nil
	}
	return c, err
}

// readConfig reads the configuration file that GW_CONFIG names, and applies the environment variables. If only the endpoint
// list is malformed, it returns the rest of the configuration together with the error.
func readConfig() (*Config, error) {
	path := os.Getenv(EnvConfig)
	if path == "" {
		return nil, errNoConfigPath
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parseConfig(raw, os.Getenv)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// LoadPlatformFile reads and checks a platform configuration. It ignores environment variables. A malformed endpoint list is
// an error.
func LoadPlatformFile(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parseConfig(raw, func(string) string { return "" })
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// mayBeTemporary reports whether a later loadConfig may succeed after err: the file could not be read, or it is truncated,
// perhaps because it is still being written.
func mayBeTemporary(err error) bool {
	var fileError *fs.PathError
	var syntaxError *json.SyntaxError
	return errors.As(err, &fileError) || errors.As(err, &syntaxError) && syntaxError.Error() == truncatedJSONText
}

// isKnownListError reports whether err says that only the endpoint list of a configuration is malformed.
func isKnownListError(err error) bool {
	var keyErr *keyError
	return errors.As(err, &keyErr) && keyErr.key == keyKnown
}

// parseConfig parses and checks a configuration, and applies the environment variables that env returns. With a keyError for
// keyKnown it also returns the rest of the configuration; with any other error the Config is nil.
func parseConfig(raw []byte, env func(name string) string) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(raw, &c.config); err != nil {
		return nil, describeTypeError(err)
	}
	c.fileDiscovery = c.Discovery
	c.applyEnvironment(env)
	if err := c.validate(); err != nil {
		return nil, err
	}
	var err error
	if c.settings, err = settings.FromJSON(c.RawSettings); err != nil {
		return nil, &keyError{keySettings, err}
	}
	if len(c.RawKnownList) > 0 && string(c.RawKnownList) != "null" {
		if c.knownList, err = protocol.ParseEndpointList(c.RawKnownList); err != nil {
			return c, &keyError{keyKnown, err}
		}
	}
	return c, nil
}

// describeTypeError returns a notObjectError if err says that the document is not a JSON object, and err itself otherwise.
func describeTypeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Type == reflect.TypeFor[config]() {
		return &notObjectError{typeErr.Value}
	}
	return err
}

// applyEnvironment replaces values of the file by those of environment variables that are not empty.
func (c *config) applyEnvironment(env func(name string) string) {
	for name, field := range map[string]*string{envName: &c.Name, envListen: &c.Listen, envDiscovery: &c.Discovery} {
		if value := env(name); value != "" {
			*field = value
		}
	}
}

// validate checks the addresses of listen and discovery, the seed and the limits, and parses the seed.
func (c *Config) validate() error {
	if err := checkAddress(keyListen, c.Listen); err != nil {
		return err
	}
	if err := checkAddress(keyDiscovery, c.Discovery); err != nil {
		return err
	}
	var err error
	if c.randomSeed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return &keyError{keySeed, err}
	}
	if c.Limits.Cores <= 0 || c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return &keyError{keyLimits, errLimitNotPositive}
	}
	return nil
}

// checkAddress returns a keyError for key unless address is an IP address with a port.
func checkAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &keyError{key, err}
	}
	return nil
}

// EngineSettings returns the settings of the node's decision engine. The caller must not change them.
func (c *Config) EngineSettings() *settings.Settings { return c.settings }

// releaseKnownList frees the endpoint list, which takes several MB in a large fleet. The node calls it once the decision
// engine has its own copy, and after a reload, which does not use the list.
func (c *Config) releaseKnownList() {
	c.RawKnownList, c.knownList.Endpoints = nil, nil
}

// ApplyOperator adds the operator file, whose settings take precedence over the platform's. It returns an error if a setting
// names a class or a plan that the platform's settings lack.
func (c *Config) ApplyOperator(file operatorfile.File) error {
	c.operator = file
	var err error
	if c.settings, err = file.Settings.Apply(c.settings); err != nil {
		return &keyError{keySettings, err}
	}
	if file.Shadow.Enabled {
		if c.shadowSettings, err = file.Shadow.Settings.Apply(c.settings); err != nil {
			return &keyError{keyShadowSettings, err}
		}
	}
	return nil
}

// reload reads the configuration again. If the file names another discovery address than before, reload calls
// switchDiscovery, even if the address at the start came from GW_DISCOVERY. It returns the new configuration with the
// settings and the operator file of c. After an error it returns c, and nothing has changed.
func (c *Config) reload(switchDiscovery func(address string)) (*Config, error) {
	next, err := loadConfig()
	if err != nil {
		return c, err
	}
	if next.fileDiscovery != c.fileDiscovery {
		if err := checkAddress(keyDiscovery, next.fileDiscovery); err != nil {
			return c, err
		}
		switchDiscovery(next.fileDiscovery)
	}
	next.settings, next.shadowSettings, next.operator = c.settings, c.shadowSettings, c.operator
	return next, nil
}
