package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/authz"
	"cherrygap/internal/healthcheck"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/internal/settings"
	"cherrygap/internal/transport"
)

// config is what the node is told at its start.
type config struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Seed      string           `json:"seed"`
	Peer      netip.AddrPort   `json:"peer_listen"`
	Peers     []netip.AddrPort `json:"peers"`
	PeersAll  netip.AddrPort   `json:"peers_all"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	named string // the discovery that the file names
	seed  uint64
	known protocol.EndpointList
	odd   error // why the known list can't be read, at a start
	set   map[string]string
	watch map[string]string   // settings to watch, from the operator file; nil for none
	share operatorfile.Duties // from the operator file, and
	quota operatorfile.Quota
	authz operatorfile.Authz
	grpc  operatorfile.GRPC
	level zerolog.Level // from the operator file; the zero value is debug, so serve sets it
}

// errKnown is a known list that can't be read, in a file that is good otherwise.
var errKnown = errors.New("known")

// startConfig reads the file for a start, or on SIGHUP. A known list that can't be read is what discovery told once and
// would tell again: the node starts as one that knows nothing, and says so, rather than not at all; one that runs does
// not use it.
func startConfig() (*config, error) {
	c, err := readConfig()
	if c != nil && errors.Is(err, errKnown) {
		c.odd, err = err, nil
	}
	return c, err
}

// readConfig reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_DISCOVERY hold over it. With errKnown
// it gives the rest of the file too.
func readConfig() (*config, error) {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
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

func parseConfig(raw []byte, env func(string) string) (*config, error) {
	c := &config{}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, err
	}
	c.named = c.Discovery
	for name, field := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen,
		"GW_DISCOVERY": &c.Discovery,
	} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if c.Limits.Cores <= 0 || c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return nil, errors.New("limits: cores, memory_mb and sockets must be above 0")
	}
	if c.set, err = settings.FromJSON(c.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if c.known, err = protocol.ParseEndpointList(c.Known); err != nil {
			return c, fmt.Errorf("%w: %w", errKnown, err)
		}
	}
	return c, nil
}

// take writes the operator file's settings over the platform's, and sets what is watched. Without any given it
// changes nothing but the level of the log.
func (c *config) take(op operatorfile.File) (err error) {
	c.level, c.share, c.quota = logLevel(op.Log.Level), op.Duties, op.Quota
	c.authz, c.grpc = op.Authz, op.GRPC
	if c.set, err = op.Settings.Over(c.set); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if op.Watch.On {
		if c.watch, err = op.Watch.Settings.Over(c.set); err != nil {
			return fmt.Errorf("watch.settings: %w", err)
		}
	}
	return nil
}

// reload reads the file again, whole, and carries out what may change while the node runs: discovery's address.
// A file that can't be read, or is no good anywhere but in its known list, changes nothing.
func (c *config) reload(move func(addr string)) (*config, error) {
	next, err := startConfig()
	if err != nil {
		return c, err
	}
	if next.named != c.named {
		if _, err := netip.ParseAddrPort(next.named); err != nil {
			return c, fmt.Errorf("discovery: %w", err)
		}
		move(next.named) // over GW_DISCOVERY too, which is of the start
	}
	// What the node runs by until it restarts.
	next.set, next.watch, next.share, next.quota, next.level = c.set, c.watch, c.share, c.quota, c.level
	next.authz, next.grpc = c.authz, c.grpc
	return next, nil
}

// limits are the node's own, for its sockets and buffers.
func (c *config) limits() transport.Limits {
	span := func(name string) time.Duration { // in tenths of a millisecond
		v, _ := strconv.ParseInt(c.set[name], 10, 64)
		return time.Duration(v) * 100 * time.Microsecond
	}
	l := transport.Limits{
		Sockets: c.Limits.Sockets, MemoryMB: c.Limits.MemoryMB, Idle: span("idle"),
		Connect: span("connect"), GRPC: c.grpc.Listen != "",
	}
	var own syscall.Rlimit // the process's, should it be lower
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil && own.Cur < uint64(l.Sockets) {
		l.Sockets = int(own.Cur)
	}
	if l.Connect <= 0 {
		l.Connect = time.Second
	}
	return l
}

// shares tells whether this node takes part in the fleet's shared duties: where the operators want it and the
// platform allows probes and messages between nodes.
func (c *config) shares() bool {
	me, err := strconv.Atoi(c.set["node"])
	return c.share.On && c.set["probes"] == "true" && c.set["peers"] == "true" && c.Peer.IsValid() && len(c.Peers) > 1 &&
		err == nil && me >= 0 && me < len(c.Peers)
}

// duties is what the shared duties are told at the start.
func (c *config) duties() healthcheck.Config {
	figure := func(name string) float64 {
		v, _ := strconv.ParseFloat(c.set[name], 64)
		return v
	}
	return healthcheck.Config{
		Self: healthcheck.NodeID(figure("node")), Nodes: len(c.Peers), Seed: c.seed, ReceiveRate: figure("peers.take"),
		SendRate: c.share.Bytes, Interval: time.Duration(c.share.CheckMs * float64(time.Millisecond)),
	}
}

// bands lists the names and contract times of the module's bands.
func (c *config) bands() (names []string, contracts []time.Duration) {
	count, _ := strconv.Atoi(c.set["band.count"])
	for i := range count {
		v, _ := strconv.ParseInt(c.set[fmt.Sprintf("band.%d.contract", i)], 10, 64) // in tenths of a millisecond
		names = append(names, c.set[fmt.Sprintf("band.%d.name", i)])
		contracts = append(contracts, time.Duration(v)*100*time.Microsecond)
	}
	return names, contracts
}

// leases is what leased quotas are told at the start.
func (c *config) leases() quota.Config {
	shortest := time.Duration(0)
	if _, contracts := c.bands(); len(contracts) > 0 {
		shortest = slices.Min(contracts)
	}
	me, _ := strconv.Atoi(c.set["node"])
	nodes, _ := strconv.Atoi(c.set["nodes"])
	return quota.Config{Self: quota.NodeID(me), Nodes: nodes, Seed: c.seed, ExchangeRate: c.quota.Calls, Timeout: quota.ExchangeTimeout(shortest)}
}

// checks is what the check of tickets is told at the start, and the numbers of bands by name. A band that the platform
// does not name is an error.
func (c *config) checks() (authz.Config, map[string]int, error) {
	names, contracts := c.bands()
	cfg, numbers := authz.Config{Most: c.authz.Most}, map[string]int{}
	if v, _ := strconv.ParseInt(c.set["advice.most"], 10, 64); c.set["advice"] == "true" {
		cfg.Advice = time.Duration(v) * 100 * time.Microsecond
	}
	for i, name := range names {
		numbers[name] = i
		cfg.Bands = append(cfg.Bands, authz.Band{Contract: contracts[i], Open: slices.Contains(c.authz.PassOpen, name)})
	}
	for _, name := range c.authz.PassOpen {
		if _, ok := numbers[name]; !ok {
			return cfg, nil, fmt.Errorf("authz.pass_open %q: the platform's settings name %s", name, strings.Join(names, ", "))
		}
	}
	return cfg, numbers, nil
}
