package scale

// nodesConfig is the first line on the simulated nodes' standard input.
type nodesConfig struct {
	Config
	Servers []string // addresses, by number
}

// nodesVerb is the action of a command to the simulated nodes.
type nodesVerb string

// The commands to the simulated nodes, with the fields that they use.
const (
	nodesStart          nodesVerb = "start"   // start all nodes, with the addresses in Real and Agent
	nodesAwaitReady     nodesVerb = "ready"   // wait until all nodes have their first endpoint list
	nodesStartSending   nodesVerb = "send"    // begin to send requests
	nodesKillServers    nodesVerb = "dead"    // Servers fail from now on
	nodesRestartServers nodesVerb = "alive"   // Servers answer again
	nodesRestart        nodesVerb = "restart" // stop Nodes for Ms, then start them
	nodesEndSection     nodesVerb = "section" // return the counts since the last section
	nodesFinalReport    nodesVerb = "report"  // stop sending and return all counts
)

// nodesCommand is a line on the simulated nodes' standard input after the first.
type nodesCommand struct {
	Verb    nodesVerb `json:"do"`
	Real    []string  `json:"real,omitempty"`    // datagram addresses of the real nodes
	Agent   string    `json:"agent,omitempty"`   // address of discovery's agent, for all simulated nodes
	Servers []int     `json:"servers,omitempty"` // by number
	Nodes   []int     `json:"nodes,omitempty"`   // numbers of simulated nodes, from 0
	Ms      int       `json:"ms,omitempty"`      // milliseconds
}

// nodesReply is a line on the simulated nodes' standard output: the addresses first, then one reply to each command.
type nodesReply struct {
	Nodes     []string            `json:"nodes,omitempty"`   // datagram addresses of simulated nodes
	Proxies   []string            `json:"proxies,omitempty"` // of each real node, as the other real nodes see it
	Broadcast string              `json:"all,omitempty"`     // address that reaches all nodes
	Error     string              `json:"error,omitempty"`   // empty if the command succeeded
	Ready     bool                `json:"ready,omitempty"`
	Report    *nodesReport        `json:"report,omitempty"`
	Section   *nodesSectionCounts `json:"section,omitempty"`
}

// failure returns the error that the worker states, or "".
func (r *nodesReply) failure() string { return r.Error }

// nodesReport holds all counts of the simulated nodes.
type nodesReport struct {
	nodesSectionCounts
	Unanswered     int64            `json:"unanswered"`
	Duplicates     int64            `json:"doubled"` // unsafe requests that were executed more than once
	LateSends      int64            `json:"late"`    // attempts later after the drain's notice than drainGrace and violationTolerance
	AttemptsBegun  []int64          `json:"load"`    // by server
	Lists          []listApplyTimes `json:"lists"`
	Peers          []peerTraffic    `json:"peers"`
	BroadcastsLost int64            `json:"lost"`        // that found the relay's queue full
	LagP99         float64          `json:"lag_ms"`      // delay of requests behind their due time
	TimerLagP99    float64          `json:"tick_lag_ms"` // delay of engines' timers behind their due time
	DurationS      float64          `json:"for_s"`
}

// nodesSectionCounts counts the requests since the last section.
type nodesSectionCounts struct {
	Sent          int64   `json:"sent"`
	Completed     int64   `json:"completed"`
	Rejected      int64   `json:"refused"`
	Failed        int64   `json:"failed"`
	LateResponses int64   `json:"late_answers"`
	Skipped       int64   `json:"skipped"` // not sent, as maxInFlight requests were in flight
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
}

// add adds the counts of another section. It leaves the quantiles as they are.
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
	Revision uint64  `json:"rev"`
	At       []int64 `json:"at"` // by simulated node, Unix µs; 0: the node was away
}

// peerTraffic counts datagrams of one kind at all simulated nodes.
type peerTraffic struct {
	Kind     byte  `json:"mark"`
	In       int64 `json:"in"`
	InBytes  int64 `json:"in_bytes"`
	Out      int64 `json:"out"`
	OutBytes int64 `json:"out_bytes"`
}
