package scale

// nodesConfig is the first line on the simulated nodes' standard input.
type nodesConfig struct {
	Config
	Servers []string // addresses, by number
}

// nodesVerb is what a command asks of the simulated nodes.
type nodesVerb string

// The commands.
const (
	nodesStart   nodesVerb = "start"   // run: Real and Agent say where
	nodesReady   nodesVerb = "ready"   // wait until all have their first endpoint list
	nodesSend    nodesVerb = "load"    // begin to send requests
	nodesDead    nodesVerb = "dead"    // Servers answer no more
	nodesAlive   nodesVerb = "alive"   // Servers answer again
	nodesRestart nodesVerb = "roll"    // Nodes are away for Ms, and start anew
	nodesCut     nodesVerb = "section" // give the counts since the last section
	nodesResult  nodesVerb = "report"  // stop sending and give all counts
)

// nodesCommand is a line on the simulated nodes' standard input after the first.
type nodesCommand struct {
	Verb    nodesVerb `json:"do"`
	Real    []string  `json:"real,omitempty"`    // datagram addresses of the real nodes
	Agent   string    `json:"agent,omitempty"`   // address of discovery's agent, for all simulated nodes
	Servers []int     `json:"servers,omitempty"` // by number
	Nodes   []int     `json:"nodes,omitempty"`   // simulated nodes, from 0
	Ms      int       `json:"ms,omitempty"`
}

// nodesReply is a line that they write: addresses first, then one for each command.
type nodesReply struct {
	Nodes     []string      `json:"nodes,omitempty"`   // datagram addresses of simulated nodes
	Proxies   []string      `json:"proxies,omitempty"` // of each real node, as the other real nodes see it
	Broadcast string        `json:"all,omitempty"`     // the address that reaches all nodes
	Error     string        `json:"error,omitempty"`
	Ready     bool          `json:"ready,omitempty"`
	Report    *nodesReport  `json:"report,omitempty"`
	Section   *nodesSection `json:"section,omitempty"`
}

func (r *nodesReply) failure() string { return r.Error }

// nodesReport holds all counts of the simulated nodes.
type nodesReport struct {
	nodesSection
	Unanswered     int64         `json:"unanswered"`
	Duplicates     int64         `json:"doubled"` // unsafe requests that began more than once
	LateSends      int64         `json:"late"`    // attempts begun at a server drained for more than drainGrace and countSlack, by the node's own clock
	AttemptsBegun  []int64       `json:"load"`    // by server
	Lists          []listApplied `json:"lists"`
	Peers          []peerTraffic `json:"peers"`
	BroadcastsLost int64         `json:"lost"`        // that found the relay's queue full
	LagP99         float64       `json:"lag_ms"`      // how late requests were begun
	TimerLagP99    float64       `json:"tick_lag_ms"` // how late engines' timers went off
	DurationS      float64       `json:"for_s"`
}

// nodesSection counts requests since the last section.
type nodesSection struct {
	Sent        int64   `json:"sent"`
	Completed   int64   `json:"completed"`
	Rejected    int64   `json:"refused"`
	Failed      int64   `json:"failed"`
	LateAnswers int64   `json:"late_answers"`
	Skipped     int64   `json:"skipped"` // not begun, as too many were in flight
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
}

// add adds the counts of another section; quantiles can't be added.
func (s *nodesSection) add(other nodesSection) {
	s.Sent += other.Sent
	s.Completed += other.Completed
	s.Rejected += other.Rejected
	s.Failed += other.Failed
	s.LateAnswers += other.LateAnswers
	s.Skipped += other.Skipped
}

// listApplied is when each simulated node had applied an endpoint list, Unix µs; 0: it was away.
type listApplied struct {
	Revision uint64  `json:"rev"`
	At       []int64 `json:"at"`
}

// peerTraffic counts datagrams of one kind at all simulated nodes.
type peerTraffic struct {
	Kind     byte  `json:"mark"`
	In       int64 `json:"in"`
	InBytes  int64 `json:"in_bytes"`
	Out      int64 `json:"out"`
	OutBytes int64 `json:"out_bytes"`
}
