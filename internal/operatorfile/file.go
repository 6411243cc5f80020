package operatorfile

import "cherrygap/internal/settings"

// File is an operator file. Its zero value is not valid: start from Default.
type File struct {
	Log          Log              `toml:"log"`
	Settings     SettingsOverride `toml:"settings"` // settings that replace those of the platform
	Shadow       Shadow           `toml:"shadow"`
	HealthChecks HealthChecks     `toml:"health_checks"`
	Quota        Quota            `toml:"quota"`
	Authz        Authz            `toml:"authz"`
	GRPC         GRPC             `toml:"grpc"`
	Lab          Lab              `toml:"lab"`

	// Deprecations holds the deprecated keys and words in the file, in the order of their lines.
	Deprecations []Deprecation `toml:"-"`

	fileKeys deprecatedNames // deprecated names that the file uses, for errors that spell keys as the file does
	deprecatedTables
}

// Log configures the program's structured log, one JSON object a line on standard error.
type Log struct {
	Level string `toml:"level"` // lowest logged level: debug, info, warn or error
}

// Shadow configures the shadow evaluation: the node counts the decisions that differ under other settings. Shadow settings
// never affect a request.
type Shadow struct {
	Enabled  bool             `toml:"enabled"`
	Settings SettingsOverride `toml:"settings"` // shadow settings that differ from the node's own
}

// HealthChecks configures the shared health checks, in which the nodes divide the app servers among themselves
// (docs/healthcheck.md). They also need the platform's permission for health checks and peer messages.
type HealthChecks struct {
	Enabled      bool    `toml:"enabled"`
	IntervalMs   float64 `toml:"interval_ms"`     // time between two checks of one app server, ms; a large fleet checks less often
	MaxBytesPerS float64 `toml:"max_bytes_per_s"` // limit of this node's peer messages for health checks, bytes per second
}

// Quota configures the leasing of customers' quotas from a shared store (docs/quota.md). Without a store, each node admits
// requests by its own token buckets.
type Quota struct {
	Store        string  `toml:"store"` // IP address and port of a store with the Redis protocol; empty for no store
	MaxCallsPerS float64 `toml:"calls"` // limit of this node's exchanges with the store, per second
}

// Authz configures the external authorizer, which checks each request before its first attempt (docs/grpc.md).
type Authz struct {
	Service     string   `toml:"service"`       // IP address and port of Envoy's Authorization service; empty for no authorizer
	MaxInFlight int      `toml:"max_in_flight"` // limit of the checks in flight
	FailOpen    []string `toml:"fail_open"`     // classes whose requests are allowed if the authorizer gives no answer

	deprecatedAuthz
}

// GRPC configures the gRPC front end.
type GRPC struct {
	Listen   string `toml:"listen"` // IP address and port of the front end; empty for no front end
	MaxCalls int    `toml:"calls"`  // limit of the calls in flight on one connection
}

// Lab holds the laboratory's defaults. Flags of `cherrygap lab ...` override them.
type Lab struct {
	Seed     uint64   `toml:"seed"` // seed of all random numbers in the lab; the same seed gives the same run
	Emulator Emulator `toml:"emulator"`
	Load     Traffic  `toml:"load"`
}

// Emulator configures the emulated app servers.
type Emulator struct {
	Listen           string  `toml:"listen"`        // loopback address and port of the first server; port 0 gives each server a free port
	Servers          int     `toml:"servers"`       // number of servers, from 1 to 512
	Concurrency      int     `toml:"concurrency"`   // limit of the requests in service at a server; further requests queue
	Queue            int     `toml:"queue"`         // limit of the queued requests at a server, which rejects further ones
	Connections      int     `toml:"connections"`   // limit of the open connections to a server, which resets further ones
	ServiceMs        float64 `toml:"service_ms"`    // median service time of one unit, ms
	ServiceTimeSigma float64 `toml:"spread"`        // sigma of the log-normal distribution of the service time
	HandshakeMs      float64 `toml:"handshake_ms"`  // extra service time of the first request on a connection, ms
	WarmupS          float64 `toml:"warmup_s"`      // time after its start during which a server is slower, s
	WarmupFactor     float64 `toml:"warmup_factor"` // factor of the service time right after the start
	IdleS            float64 `toml:"idle_s"`        // idle time after which a connection is closed, s
	DrainMs          float64 `toml:"drain_ms"`      // time that a draining server leaves its requests to finish, ms
	LoadReports      bool    `toml:"load_reports"`  // whether responses carry a load report
	HealthChecks     bool    `toml:"health_checks"` // whether servers answer health checks and load polls; if not, they respond with status 404
	Schedule         string  `toml:"schedule"`      // path of a file of scheduled faults; empty for no faults

	deprecatedEmulator
}

// Traffic configures the traffic of the open-loop load generator.
type Traffic struct {
	Target           string         `toml:"target"`      // loopback address and port of the node, or of an app server
	Rate             float64        `toml:"rate"`        // mean rate of the Poisson arrivals, requests per second
	DurationS        float64        `toml:"duration_s"`  // time during which requests arrive, s
	Customers        int            `toml:"customers"`   // number of customers; Zipf's law draws the customer of a request
	Skew             float64        `toml:"skew"`        // exponent of Zipf's law, above 1
	BurstPeriodS     float64        `toml:"burst_s"`     // time between the starts of bursts, s; 0 for no bursts
	BurstLengthS     float64        `toml:"burst_len_s"` // length of a burst, s
	BurstFactor      float64        `toml:"burst_x"`     // factor of the rate during a burst
	RetryProbability float64        `toml:"retry_p"`     // probability that the client of a rejected request retries
	Connections      int            `toml:"connections"` // limit of the generator's open connections
	Classes          []TrafficClass `toml:"class"`       // classes of the requests
	Plan             string         `toml:"plan"`        // plan of every customer
	Spread           int            `toml:"spread"`      // number of nodes in a customer's node set

	deprecatedTraffic
}

// TrafficClass configures the requests of one class.
type TrafficClass struct {
	Name        string  `toml:"name"`         // class name, which is the first segment of the path
	RetrySafety string  `toml:"retry_safety"` // settings.RetrySafe (GET) or settings.RetryUnsafe (POST)
	Share       float64 `toml:"share"`        // weight of the class among the arrivals; the weights need not add up to 1
	BudgetMs    int     `toml:"budget_ms"`    // request timeout of the client, ms
	Units       float64 `toml:"units"`        // cost of a request, in units

	deprecatedClass
}

// Default returns a file with every key at its documented default.
func Default() File {
	return File{
		Log:          Log{Level: "info"},
		HealthChecks: HealthChecks{IntervalMs: 5000, MaxBytesPerS: 4096},
		Quota:        Quota{MaxCallsPerS: 200},
		Authz:        Authz{MaxInFlight: 64},
		GRPC:         GRPC{MaxCalls: 256},
		Lab: Lab{
			Seed: 1,
			Emulator: Emulator{
				Listen: "127.0.0.1:0", Servers: 4, Concurrency: 8, Queue: 32, Connections: 64,
				ServiceMs: 20, ServiceTimeSigma: 0.4, HandshakeMs: 2, WarmupS: 10, WarmupFactor: 4, IdleS: 30, DrainMs: 2000,
				LoadReports: true, HealthChecks: true,
			},
			Load: Traffic{
				Target: "127.0.0.1:8080", Rate: 200, DurationS: 10, Customers: 50, Skew: 1.2,
				BurstFactor: 1, RetryProbability: 0.5, Connections: 256, Plan: "team", Spread: 1,
				Classes: []TrafficClass{
					{Name: "seat-lookup", RetrySafety: settings.RetrySafe, Share: 0.8, BudgetMs: 500, Units: 1},
					{Name: "seat-purchase", RetrySafety: settings.RetryUnsafe, Share: 0.2, BudgetMs: 1500, Units: 3},
				},
			},
		},
	}
}
