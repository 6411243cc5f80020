package operatorfile

import "cherrygap/internal/settings"

// File is the whole operator file. The zero value is not valid; start from Default.
type File struct {
	Log          Log              `toml:"log"`
	Settings     SettingsOverride `toml:"settings"` // over the platform's settings
	Shadow       Shadow           `toml:"shadow"`
	HealthChecks HealthChecks     `toml:"health_checks"`
	Quota        Quota            `toml:"quota"`
	Authz        Authz            `toml:"authz"`
	GRPC         GRPC             `toml:"grpc"`
	Lab          Lab              `toml:"lab"`

	// Deprecations are the keys that the file gives under an earlier name, in the order of their lines.
	Deprecations []Deprecation `toml:"-"`

	written keyNames // keys that were given under an earlier name, for the errors
	deprecatedTables
}

// Log is how the program writes its structured log (zerolog, one JSON object a line on standard error).
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// Shadow is a mode in which the node decides as ever and counts where other settings would decide otherwise.
type Shadow struct {
	Enabled  bool             `toml:"enabled"`
	Settings SettingsOverride `toml:"settings"` // those, over the settings that the node decides by
}

// HealthChecks are the shared health checks of app servers, each of which one node of the fleet does (docs/healthcheck.md).
// They are done only where the platform's settings allow probes and peers, whatever stands here.
type HealthChecks struct {
	Enabled      bool    `toml:"enabled"`
	IntervalMs   float64 `toml:"interval_ms"`     // between two checks of one app server, ms; longer in a large fleet
	MaxBytesPerS float64 `toml:"max_bytes_per_s"` // that this node sends to its peers for them
}

// Quota names a shared store that customers' quotas are leased from (docs/quota.md); without one each node keeps its own
// buckets.
type Quota struct {
	Store        string  `toml:"store"` // address and port of a store that speaks Redis's protocol; empty for none
	MaxCallsPerS float64 `toml:"calls"` // exchanges that this node makes with it
}

// Authz names an external authorizer (docs/grpc.md) that each request is checked by before it is sent to an app server.
type Authz struct {
	Service     string   `toml:"service"`       // address and port of Envoy's Authorization service; empty for none
	MaxInFlight int      `toml:"max_in_flight"` // checks at once
	FailOpen    []string `toml:"fail_open"`     // classes whose requests pass where no answer comes; others are rejected

	deprecatedAuthz
}

// GRPC is the front end that takes requests over gRPC.
type GRPC struct {
	Listen   string `toml:"listen"` // address and port; empty for none
	MaxCalls int    `toml:"calls"`  // in flight at once on one connection
}

// Lab holds the laboratory's defaults; flags of `cherrygap lab ...` hold over them.
type Lab struct {
	Seed     uint64   `toml:"seed"` // of every random draw in the lab; the same seed gives the same run
	Emulator Emulator `toml:"emulator"`
	Load     Traffic  `toml:"load"`
}

// Emulator describes the emulated app servers.
type Emulator struct {
	Listen       string  `toml:"listen"`        // loopback address of the first server; port 0 picks free ones
	Servers      int     `toml:"servers"`       // how many, 1 to 512
	Concurrency  int     `toml:"concurrency"`   // requests a server works on at once; more wait in its queue
	Queue        int     `toml:"queue"`         // requests that may wait; past that it rejects (503, X-Rejected)
	Connections  int     `toml:"connections"`   // connections it holds; further ones are reset
	ServiceMs    float64 `toml:"service_ms"`    // median service time of one unit, ms
	Spread       float64 `toml:"spread"`        // sigma of the log-normal service time
	HandshakeMs  float64 `toml:"handshake_ms"`  // added to the first request on a new connection, ms
	WarmupS      float64 `toml:"warmup_s"`      // a started server is slow for this long, s
	WarmupFactor float64 `toml:"warmup_factor"` // service time multiplier at the very start of it
	IdleS        float64 `toml:"idle_s"`        // a connection idle for this long is closed, s
	DrainMs      float64 `toml:"drain_ms"`      // grace a draining server gives what it holds, ms
	LoadReports  bool    `toml:"load_reports"`  // responses carry X-Load-Report
	HealthChecks bool    `toml:"health_checks"` // GET /healthz and GET /load are answered; else 404
	Schedule     string  `toml:"schedule"`      // file of scripted faults; empty for none

	deprecatedEmulator
}

// Traffic describes the open-loop load tool's traffic.
type Traffic struct {
	Target           string         `toml:"target"`      // loopback address of the node (or of a server)
	Rate             float64        `toml:"rate"`        // requests a second, mean of a Poisson process
	DurationS        float64        `toml:"duration_s"`  // how long arrivals go on, s
	Customers        int            `toml:"customers"`   // distinct customers, drawn by a Zipf law
	Skew             float64        `toml:"skew"`        // the Zipf law's s (above 1); larger is hotter
	BurstS           float64        `toml:"burst_s"`     // every so many seconds a burst starts; 0 for none
	BurstLenS        float64        `toml:"burst_len_s"` // how long it lasts, s
	BurstX           float64        `toml:"burst_x"`     // rate multiplier during a burst
	RetryProbability float64        `toml:"retry_p"`     // chance that a client whose request was rejected tries again
	Connections      int            `toml:"connections"` // that the tool may hold open at once
	Classes          []TrafficClass `toml:"class"`       // what requests are made of
	Plan             string         `toml:"plan"`        // X-Tariff of every customer
	Spread           int            `toml:"spread"`      // X-Weight spread: nodes in a customer's set

	deprecatedTraffic
}

// TrafficClass is one kind of request in the load.
type TrafficClass struct {
	Name        string  `toml:"name"`         // the path's first part
	RetrySafety string  `toml:"retry_safety"` // settings.RetrySafe (GET) or settings.RetryUnsafe (POST)
	Share       float64 `toml:"share"`        // of arrivals; shares are normalised
	BudgetMs    int     `toml:"budget_ms"`    // X-Budget-Ms: how long the client waits
	Units       float64 `toml:"units"`        // X-Weight units

	deprecatedClass
}

// Default is a file with every key at its documented default.
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
				ServiceMs: 20, Spread: 0.4, HandshakeMs: 2, WarmupS: 10, WarmupFactor: 4, IdleS: 30, DrainMs: 2000,
				LoadReports: true, HealthChecks: true,
			},
			Load: Traffic{
				Target: "127.0.0.1:8080", Rate: 200, DurationS: 10, Customers: 50, Skew: 1.2,
				BurstX: 1, RetryProbability: 0.5, Connections: 256, Plan: "team", Spread: 1,
				Classes: []TrafficClass{
					{Name: "seat-lookup", RetrySafety: settings.RetrySafe, Share: 0.8, BudgetMs: 500, Units: 1},
					{Name: "seat-purchase", RetrySafety: settings.RetryUnsafe, Share: 0.2, BudgetMs: 1500, Units: 3},
				},
			},
		},
	}
}
