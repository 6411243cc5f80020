package scale

// nodesConfig is the first line of the simulated nodes' standard input.
type nodesConfig struct {
	Config
	Servers []string // addresses of the app servers, by server number; hides Config.Servers, also in JSON
}

// nodesVerb is the action of a command to the simulated nodes.
type nodesVerb string

// The commands to the simulated nodes. Capitalized words are the fields of nodesCommand that a command uses.
const (
	nodesStart          nodesVerb = "start"   // start all nodes with the addresses in Real and Agent
	nodesAwaitReady     nodesVerb = "ready"   // wait until all nodes have their first endpoint list
	nodesStartSending   nodesVerb = "send"    // begin to send requests
	nodesKillServers    nodesVerb = "dead"    // let attempts at Servers fail from now on
	nodesRestartServers nodesVerb = "alive"   // let Servers respond again
	nodesRestart        nodesVerb = "restart" // stop Nodes for DowntimeMs, then start them
	nodesEndSection     nodesVerb = "section" // end the section and return its counts
	nodesFinalReport    nodesVerb = "report"  // stop sending and return all counts
)

// nodesCommand is a line of the simulated nodes' standard input after the first one.
type nodesCommand struct {
	Verb       nodesVerb `json:"do"`
	Real       []string  `json:"real,omitempty"`    // peer addresses of the real nodes, by node number
	Agent      string    `json:"agent,omitempty"`   // address of the discovery agent, for all simulated nodes
	Servers    []int     `json:"servers,omitempty"` // server numbers
	Nodes      []int     `json:"nodes,omitempty"`   // numbers among the simulated nodes, from 0
	DowntimeMs int       `json:"ms,omitempty"`      // downtime of a restart, milliseconds
}

// nodesReply is a line of the simulated nodes' standard output. The first line holds the addresses; each further line is the
// reply to a command.
type nodesReply struct {
	Nodes     []string            `json:"nodes,omitempty"`   // peer addresses of the simulated nodes
	Proxies   []string            `json:"proxies,omitempty"` // peer address of each real node for the other real nodes
	Broadcast string              `json:"all,omitempty"`     // address whose datagrams reach all nodes
	Error     string              `json:"error,omitempty"`   // error of the command; empty: no error
	Ready     bool                `json:"ready,omitempty"`   // whether all nodes have an endpoint list, after nodesAwaitReady
	Report    *nodesReport        `json:"report,omitempty"`  // counts of the run, after nodesFinalReport
	Section   *nodesSectionCounts `json:"section,omitempty"` // counts of the section, after nodesEndSection
}

// failure returns the error of the command, or "" if there was none.
func (r *nodesReply) failure() string { return r.Error }

// nodesReport holds all counts of the simulated nodes. The section counts are sums and quantiles over the run.
type nodesReport struct {
	nodesSectionCounts
	Unanswered     int64            `json:"unanswered"`  // requests without a response at the end of the run
	Duplicates     int64            `json:"doubled"`     // unsafe requests that servers executed more than once
	LateSends      int64            `json:"late"`        // attempts over drainGrace and violationTolerance after a drain's notice
	AttemptsBegun  []int64          `json:"load"`        // attempts that a server began to execute, by server number
	Lists          []listApplyTimes `json:"lists"`       // one element for each endpoint list, in the order of arrival
	Peers          []peerTraffic    `json:"peers"`       // one element for each kind of message
	BroadcastsLost int64            `json:"lost"`        // broadcasts lost because the queue was full
	LagP99         float64          `json:"lag_ms"`      // 99th percentile of the requests' delay behind their due time, ms
	TimerLagP99    float64          `json:"tick_lag_ms"` // 99th percentile of the engine timers' delay behind their due time, ms
	DurationS      float64          `json:"for_s"`       // time since the nodes' start, seconds
}

// nodesSectionCounts counts the requests of one section, or of all sections of the run.
type nodesSectionCounts struct {
	Sent          int64   `json:"sent"`
	Completed     int64   `json:"completed"`
	Rejected      int64   `json:"refused"`
	Failed        int64   `json:"failed"`
	LateResponses int64   `json:"late_answers"` // responses later than the client's timeout and violationTolerance
	Skipped       int64   `json:"skipped"`      // requests not sent, as maxInFlight requests were in flight
	P50           float64 `json:"p50_ms"`       // median latency of the completed requests, ms
	P99           float64 `json:"p99_ms"`       // 99th percentile of their latency, ms
}

// add adds the counts of another section. It does not change the quantiles.
func (s *nodesSectionCounts) add(other nodesSectionCounts) {
	s.Sent += other.Sent
	s.Completed += other.Completed
	s.Rejected += other.Rejected
	s.Failed += other.Failed
	s.LateResponses += other.LateResponses
	s.Skipped += other.Skipped
}

// listApplyTimes holds the times at which the simulated nodes had applied an endpoint list.
type listApplyTimes struct {
	Revision uint64  `json:"rev"` // revision of the list
	At       []int64 `json:"at"`  // time in Unix µs, by simulated node from 0; 0: the node was down
}

// peerTraffic counts the peer messages of one kind at all simulated nodes.
type peerTraffic struct {
	Kind     byte  `json:"mark"` // first byte of the messages; 0: all other kinds
	In       int64 `json:"in"`
	InBytes  int64 `json:"in_bytes"`
	Out      int64 `json:"out"`
	OutBytes int64 `json:"out_bytes"`
}
