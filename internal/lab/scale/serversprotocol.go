package scale

// serversVerb is what a command asks of the simulated app servers.
type serversVerb string

// The commands.
const (
	serversDrain   serversVerb = "drain"   // Servers drain as of At
	serversUndrain serversVerb = "undrain" // Servers are in service
	serversKill    serversVerb = "kill"    // Servers refuse and reset connections
	serversRevive  serversVerb = "revive"  // Servers listen again
	serversReport  serversVerb = "report"  // give all counts
)

// serversCommand is a line on the simulated app servers' standard input.
type serversCommand struct {
	Verb    serversVerb `json:"do"`
	Servers []int       `json:"servers"` // by number
	At      int64       `json:"at"`      // when a drain was published, Unix µs
}

// serversReply is a line that they write: addresses first, then one for each command.
type serversReply struct {
	Addrs        []string `json:"addrs,omitempty"` // by server
	Error        string   `json:"error,omitempty"`
	Begun        []int64  `json:"load,omitempty"` // requests begun, by server
	LateSends    int64    `json:"late"`           // requests begun later after the drain than drainGrace and countSlack
	Duplicates   int64    `json:"doubled"`        // unsafe requests that began a second time
	SafeRepeats  int64    `json:"repeated"`       // safe ones that did
	Connections  int64    `json:"conns"`          // accepted
	MaxOpenConns int64    `json:"most_open"`      // open at once
}

func (r *serversReply) failure() string { return r.Error }
