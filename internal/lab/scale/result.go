package scale

// Result holds the figures of a run, which `lab scale` prints as one JSON line. Quantiles of latencies and lags are in ms,
// Applied figures in seconds, shares and cores in cores. Discovery bytes and Peers are per node and second. docs/lab.md describes
// each figure. The JSON keys are a stable format, so that users can compare the results of different versions.
type Result struct {
	Nodes     int      `json:"nodes"`
	Real      int      `json:"real"`
	Simulated int      `json:"hollow"`
	Servers   int      `json:"servers"`
	Tenants   int      `json:"tenants"`
	Seed      uint64   `json:"seed"`
	DurationS float64  `json:"for_s"`
	SetupS    float64  `json:"setup_s"`
	Faults    []string `json:"troubles"`

	Sent           int64 `json:"sent"`
	Completed      int64 `json:"completed"`
	Rejected       int64 `json:"refused"`
	Failed         int64 `json:"failed"`
	OtherStatus    int64 `json:"other_status"`
	LateResponses  int64 `json:"late_answers"`
	ConnectFailed  int64 `json:"unreached"`
	Unanswered     int64 `json:"unanswered"`
	Duplicates     int64 `json:"duplicates"`
	SafeRepeats    int64 `json:"safe_repeats"`
	SendsToDrained int64 `json:"sends_to_drained"`

	SimulatedRequests NodeRequests `json:"hollow_requests"`

	Direct           int64   `json:"straight"`
	DirectFailed     int64   `json:"straight_failed"`
	ViaNodeP50       float64 `json:"through_p50_ms"`
	ViaNodeP99       float64 `json:"through_p99_ms"`
	DirectP50        float64 `json:"straight_p50_ms"`
	DirectP99        float64 `json:"straight_p99_ms"`
	AddedP50         float64 `json:"added_p50_ms"`
	AddedP99         float64 `json:"added_p99_ms"`
	CoreShare        float64 `json:"core_share"`
	MaxCoreShare     float64 `json:"core_share_most"`
	QuietRequestRate float64 `json:"quiet_requests_s"`
	ControlShare     float64 `json:"control_core_share"`
	MaxControlShare  float64 `json:"control_core_share_most"`
	CPUMsPerRequest  float64 `json:"cpu_ms_per_request"`
	RSSMiB           float64 `json:"rss_mib"`
	PeakRSSMiB       float64 `json:"peak_rss_mib"`

	DiscoveryFullBytes   float64              `json:"discovery_whole_bytes_s"`
	DiscoveryChangeBytes float64              `json:"discovery_changes_bytes_s"`
	DiscoveryFullLists   float64              `json:"discovery_whole_lists"`
	Peers                map[string]PeerRates `json:"peers"`
	BroadcastsLost       int64                `json:"peers_all_lost"`

	Changes           int     `json:"changes"`
	ChangesNotApplied int     `json:"changes_not_in_force"`
	Applied99         float64 `json:"in_force_99_s"`
	MaxApplied99      float64 `json:"in_force_99_most_s"`
	AppliedAll        float64 `json:"in_force_all_s"`
	MaxAppliedAll     float64 `json:"in_force_all_most_s"`
	AppliedReal       float64 `json:"in_force_real_s"`
	MaxAppliedReal    float64 `json:"in_force_real_most_s"`

	LoadMean           float64 `json:"load_mean"`
	LoadMaxOverMean    float64 `json:"load_max_over_mean"`
	LoadP99OverMean    float64 `json:"load_p99_over_mean"`
	ServerConns        int64   `json:"server_connections"`
	MaxOpenServerConns int64   `json:"server_connections_most_open"`

	Sections []Section `json:"sections"`

	LagP99          float64 `json:"lag_p99_ms"`
	SimulatedLagP99 float64 `json:"hollow_lag_p99_ms"`
	TimerLagP99     float64 `json:"hollow_tick_lag_p99_ms"`
	Behind          bool    `json:"behind"`
	SimulatedBehind bool    `json:"hollow_behind"`
	LabCores        float64 `json:"lab_cores"`
	ServerCores     float64 `json:"servers_cores"`
	SimulatedCores  float64 `json:"hollow_cores"`
	SimulatedMiB    float64 `json:"hollow_rss_mib"`
	ServersMiB      float64 `json:"servers_rss_mib"`

	Restarts          int `json:"restarts"`
	SimulatedRestarts int `json:"hollow_restarts"`

	Exited int `json:"real_ended_by_themselves"`
	Killed int `json:"real_killed"`
}

// NodeRequests counts the requests of the simulated nodes.
type NodeRequests struct {
	nodesSectionCounts
	Unanswered int64 `json:"unanswered"`
}

// PeerRates holds the messages and bytes of one kind of peer message, per simulated node and second.
type PeerRates struct {
	In       float64 `json:"in_s"`
	InBytes  float64 `json:"in_bytes_s"`
	Out      float64 `json:"out_s"`
	OutBytes float64 `json:"out_bytes_s"`
}

// Section holds the figures of one section of the run. Latencies are in ms. An Added figure is the difference between the
// quantiles of requests through a node and of direct requests.
type Section struct {
	Name         string  `json:"name"`
	DurationS    float64 `json:"for_s"`
	Sent         int64   `json:"sent"`
	Completed    int64   `json:"completed"`
	Rejected     int64   `json:"refused"`
	Failed       int64   `json:"failed"`
	Unanswered   int64   `json:"unanswered"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Direct       int64   `json:"straight"`
	DirectP50    float64 `json:"straight_p50_ms"`
	DirectP99    float64 `json:"straight_p99_ms"`
	AddedP50     float64 `json:"added_p50_ms"`
	AddedP99     float64 `json:"added_p99_ms"`
	SimulatedP99 float64 `json:"hollow_p99_ms"`
}
