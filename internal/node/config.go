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

// Environment variables that a node reads. An empty value counts as none.
const (
	EnvConfig    = "GW_CONFIG"    // path of the platform's configuration
	EnvOperator  = "GW_OPERATOR"  // path of the operator file, as --operator
	envName      = "GW_NAME"      // overrides "name" in the configuration
	envListen    = "GW_LISTEN"    // overrides "listen"
	envDiscovery = "GW_DISCOVERY" // overrides "discovery", until a reload names another address
)

// Keys of the platform's configuration that an error may name.
const (
	keyListen    = "listen"
	keyDiscovery = "discovery"
	keySeed      = "seed"
	keyLimits    = "limits"
	keyKnown     = "known"
	keySettings  = "settings"
)

// keyShadowSettings is the part of the operator file with the shadow evaluation's settings.
const keyShadowSettings = "shadow.settings"

// config is the platform's configuration as its JSON file has it, with the environment's values over it. Errors of
// encoding/json contain this type's name, and such error lines keep their text.
type config struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Seed      string           `json:"seed"` // 64 bits, hexadecimal
	Peer      netip.AddrPort   `json:"peer_listen"`
	Peers     []netip.AddrPort `json:"peers"` // by node number
	PeersAll  netip.AddrPort   `json:"peers_all"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`    // endpoint list, in the format of the discovery service
	Settings json.RawMessage `json:"settings"` // nested, by the platform's names
}

// documentType is the type's name in the error on a configuration that is no JSON object. Operators see this text, so it does
// not follow the name of config.
const documentType = "main.config"

// Config is the configuration of one node: the platform's file and the operator file. LoadConfigAtStart or
// LoadPlatformFile makes one, and ApplyOperator adds the operator file. A node only reads it.
type Config struct {
	config

	fileDiscovery  string                // Discovery in the file, without the environment's value
	randomSeed     uint64                // Seed
	known          protocol.EndpointList // Known; empty where that is malformed
	knownErr       error                 // the error of a malformed Known; nil if it is valid or missing
	settings       *settings.Settings    // Settings, with the operator file's over them
	shadowSettings *settings.Settings    // for the shadow evaluation; nil for none
	operator       operatorfile.File     // the zero value before ApplyOperator
}

// keyError is the error of an invalid value, in the platform's configuration or the operator file's settings.
type keyError struct {
	key string
	err error
}

func (e *keyError) Error() string { return e.key + ": " + e.err.Error() }

func (e *keyError) Unwrap() error { return e.err }

// documentTypeError is the error of a configuration that is JSON but no object.
type documentTypeError struct{ kind string } // the JSON value's kind, such as "array"

func (e *documentTypeError) Error() string {
	return "json: cannot unmarshal " + e.kind + " into Go value of type " + documentType
}

// errNotPositive is the error of a platform limit that is missing, zero or negative.
var errNotPositive = errors.New("cores, memory_mb and sockets must be above 0")

// errNoConfigPath is the error of a start without a configuration.
var errNoConfigPath = errors.New(EnvConfig + " is not set")

// truncatedJSON is the text of encoding/json's error on a document without its end.
const truncatedJSON = "unexpected end of JSON input"

// loadConfig reads the configuration that GW_CONFIG names, for a start or a reload. A malformed endpoint list is no error
// but the result's knownErr. The discovery service sends the list anyway, so a node can start without one.
func loadConfig() (*Config, error) {
	c, err := readConfig()
	if c != nil && isKnownListError(err) {
		c.knownErr, err = err, nil
	}
	return c, err
}

// readConfig reads the configuration that GW_CONFIG names, with the environment's values over it. Where only the endpoint
// list is malformed it returns the rest of the configuration with the error.
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

// LoadPlatformFile reads and checks a platform configuration. It ignores environment variables, and a malformed endpoint
// list is an error.
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

// mayBeReadLater reports whether an error of loadConfig may pass: the file could not be read, or its end is still to be
// written.
func mayBeReadLater(err error) bool {
	var fileError *fs.PathError
	var syntaxError *json.SyntaxError
	return errors.As(err, &fileError) || errors.As(err, &syntaxError) && syntaxError.Error() == truncatedJSON
}

// isKnownListError reports whether only the endpoint list of a configuration is malformed.
func isKnownListError(err error) bool {
	var fault *keyError
	return errors.As(err, &fault) && fault.key == keyKnown
}

// parseConfig parses and checks a configuration, with the environment's values over it. With a keyError on keyKnown it
// returns the rest of the configuration too; with any other error nil.
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
	if c.settings, err = settings.FromJSON(c.Settings); err != nil {
		return nil, &keyError{keySettings, err}
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if c.known, err = protocol.ParseEndpointList(c.Known); err != nil {
			return c, &keyError{keyKnown, err}
		}
	}
	return c, nil
}

// describeTypeError returns a documentTypeError where the document is no JSON object, and any other error as it is.
func describeTypeError(err error) error {
	var fault *json.UnmarshalTypeError
	if errors.As(err, &fault) && fault.Type == reflect.TypeFor[config]() {
		return &documentTypeError{fault.Value}
	}
	return err
}

// applyEnvironment replaces values of the file by those of the environment.
func (c *config) applyEnvironment(env func(name string) string) {
	for name, field := range map[string]*string{envName: &c.Name, envListen: &c.Listen, envDiscovery: &c.Discovery} {
		if value := env(name); value != "" {
			*field = value
		}
	}
}

// validate checks the values that the JSON types leave open, and parses the seed.
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
		return &keyError{keyLimits, errNotPositive}
	}
	return nil
}

// checkAddress checks that the value of a key is an IP address and a port.
func checkAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &keyError{key, err}
	}
	return nil
}

// EngineSettings returns the node's settings, which must not be changed.
func (c *Config) EngineSettings() *settings.Settings { return c.settings }

// releaseKnownList frees the endpoint list once the decision engine has its own copy. In a large fleet it takes some MB.
func (c *Config) releaseKnownList() {
	c.Known, c.known.Endpoints = nil, nil
}

// ApplyOperator adds the operator file. Its settings take precedence over the platform's.
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

// reload reads the configuration again. It calls switchTo if the file names another discovery address than before, even where
// GW_DISCOVERY gave the address at the start. It returns the new configuration, with the settings and the operator file of c.
// After an error it returns c, and nothing has changed.
func (c *Config) reload(switchTo func(address string)) (*Config, error) {
	next, err := loadConfig()
	if err != nil {
		return c, err
	}
	if next.fileDiscovery != c.fileDiscovery {
		if err := checkAddress(keyDiscovery, next.fileDiscovery); err != nil {
			return c, err
		}
		switchTo(next.fileDiscovery)
	}
	next.settings, next.shadowSettings, next.operator = c.settings, c.shadowSettings, c.operator
	return next, nil
}
