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

	"github.com/rs/zerolog"

	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// Environment variables that the node reads.
const (
	EnvConfig    = "GW_CONFIG"    // path of the platform's configuration
	envName      = "GW_NAME"      // over "name" in it
	envListen    = "GW_LISTEN"    // over "listen"
	envDiscovery = "GW_DISCOVERY" // over "discovery", until a reload names another address
	EnvOperator  = "GW_OPERATOR"  // path of the operator file, as --operator
)

// keyKnown is the configuration's key of the endpoint list as last known.
const keyKnown = "known"

// Config is what a node starts with.
type Config = config

// config is what the node starts with: the platform's configuration (the exported fields, JSON) and what the operator file
// adds to it. The errors of encoding/json on values of the wrong type name this type.
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
	Known    json.RawMessage `json:"known"`    // endpoint list, in the form of the discovery service
	Settings json.RawMessage `json:"settings"` // nested, by the platform's names

	fileDiscovery string                // the address in the file, whatever the environment says
	randomSeed    uint64                // Seed
	known         protocol.EndpointList // Known; empty where it can't be read
	knownErr      error                 // why Known can't be read
	settings      *settings.Settings    // Settings, the operator file's over them

	deprecations   []operatorfile.Deprecation
	shadowSettings *settings.Settings // for the shadow evaluation; nil for none
	logLevel       zerolog.Level      // ApplyOperator sets it: the zero value would be debug
	healthChecks   operatorfile.HealthChecks
	quota          operatorfile.Quota
	authz          operatorfile.Authz
	grpc           operatorfile.GRPC
}

// keyError is a key of the platform's configuration, or a part of the operator file, whose value can't be used.
type keyError struct {
	key string
	err error
}

func (e *keyError) Error() string { return e.key + ": " + e.err.Error() }

func (e *keyError) Unwrap() error { return e.err }

// errNotPositive is a limit of the platform's that is missing, zero or negative.
var errNotPositive = errors.New("cores, memory_mb and sockets must be above 0")

// errPartOfJSON is the text of encoding/json's error on a document whose end is missing.
const errPartOfJSON = "unexpected end of JSON input"

// errNoConfigPath is a start without a configuration.
var errNoConfigPath = errors.New(EnvConfig + " is not set")

// loadConfig reads the configuration that GW_CONFIG names, for a start or a reload. An endpoint list in it that can't be
// read is no error but knownErr: the discovery service will send the list again, so a node
// starts without endpoints rather than not at all, and one that runs does not use this list.
func loadConfig() (*config, error) {
	c, err := readConfig()
	if c != nil && isKnownListError(err) {
		c.knownErr, err = err, nil
	}
	return c, err
}

// readConfig reads the configuration that GW_CONFIG names, with the environment's values over it. With an error on the
// endpoint list alone it returns the rest of the configuration too.
func readConfig() (*config, error) {
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

// mayBeReadLater reports whether a configuration could not be read for a reason that may pass: the machine lacked what it
// takes, the file system failed, or the file is being written and only a part of it is there.
func mayBeReadLater(err error) bool {
	var fault *fs.PathError
	var syntax *json.SyntaxError
	return errors.As(err, &fault) || errors.As(err, &syntax) && syntax.Error() == errPartOfJSON
}

// isKnownListError reports whether the endpoint list is all that is wrong with a configuration.
func isKnownListError(err error) bool {
	var fault *keyError
	return errors.As(err, &fault) && fault.key == keyKnown
}

// parseConfig reads a configuration's text, with the environment's values over it. With a keyError on "known" it returns
// the rest of the configuration too; with any other error none.
func parseConfig(raw []byte, env func(name string) string) (*config, error) {
	c := &config{}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, nameDocument(err)
	}
	c.fileDiscovery = c.Discovery
	c.applyEnvironment(env)
	if err := c.validate(); err != nil {
		return nil, err
	}
	var err error
	if c.settings, err = settings.FromJSON(c.Settings); err != nil {
		return nil, &keyError{"settings", err}
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if c.known, err = protocol.ParseEndpointList(c.Known); err != nil {
			return c, &keyError{keyKnown, err}
		}
	}
	return c, nil
}

// nameDocument keeps the text of the error on a document that is no JSON object: it names the type as main.config.
func nameDocument(err error) error {
	var fault *json.UnmarshalTypeError
	if !errors.As(err, &fault) || fault.Type != reflect.TypeFor[config]() {
		return err
	}
	return fmt.Errorf("json: cannot unmarshal %s into Go value of type main.config", fault.Value)
}

// applyEnvironment writes the environment's values over the file's, but for empty ones.
func (c *config) applyEnvironment(env func(name string) string) {
	for name, field := range map[string]*string{envName: &c.Name, envListen: &c.Listen, envDiscovery: &c.Discovery} {
		if value := env(name); value != "" {
			*field = value
		}
	}
}

// validate checks what the JSON types leave open, and reads the seed.
func (c *config) validate() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	var err error
	if c.randomSeed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return &keyError{"seed", err}
	}
	if c.Limits.Cores <= 0 || c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return &keyError{"limits", errNotPositive}
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
func (c *config) EngineSettings() *settings.Settings { return c.settings }

// releaseKnownList lets go of the endpoint list, some MB in a large fleet, which the decision engine holds in its own form.
func (c *config) releaseKnownList() {
	c.Known, c.known.Endpoints = nil, nil
}

// ApplyOperator adds the operator file's part. A file that holds nothing changes nothing but the log's level.
func (c *config) ApplyOperator(file operatorfile.File) error {
	c.logLevel, c.healthChecks, c.quota = ParseLogLevel(file.Log.Level), file.HealthChecks, file.Quota
	c.authz, c.grpc, c.deprecations = file.Authz, file.GRPC, file.Deprecations
	var err error
	if c.settings, err = file.Settings.Apply(c.settings); err != nil {
		return &keyError{"settings", err}
	}
	if file.Shadow.Enabled {
		if c.shadowSettings, err = file.Shadow.Settings.Apply(c.settings); err != nil {
			return &keyError{"shadow.settings", err}
		}
	}
	return nil
}

// reload reads the configuration again and carries out what may change while the node runs: the address of the discovery
// service, by a call of move, even where GW_DISCOVERY gave another at the start. It returns the new configuration, with
// all else that the node runs by as it was; with an error nothing has changed. An endpoint list that can't be read is none.
func (c *config) reload(move func(address string)) (*config, error) {
	next, err := loadConfig()
	if err != nil {
		return c, err
	}
	if next.fileDiscovery != c.fileDiscovery {
		if err := checkAddress("discovery", next.fileDiscovery); err != nil {
			return c, err
		}
		move(next.fileDiscovery)
	}
	next.settings, next.shadowSettings, next.logLevel = c.settings, c.shadowSettings, c.logLevel
	next.healthChecks, next.quota, next.authz, next.grpc = c.healthChecks, c.quota, c.authz, c.grpc
	return next, nil
}

// LoadPlatformFile reads a platform configuration, whatever the environment says.
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
