package scale

// serversVerb is the action of a command to the simulated app servers.
type serversVerb string

// The commands to the simulated app servers, with the fields that they use.
const (
	serversDrain   serversVerb = "drain"   // Servers drain since At
	serversUndrain serversVerb = "undrain" // Servers are in service
	serversKill    serversVerb = "kill"    // Servers reset their connections and refuse new ones
	serversRestart serversVerb = "revive"  // Servers listen again
	serversReport  serversVerb = "report"  // return all counts
)

// serversCommand is a line on the simulated app servers' standard input.
type serversCommand struct {
	Verb    serversVerb `json:"do"`
	Servers []int       `json:"servers"` // by number
	At      int64       `json:"at"`      // when a drain was published, Unix µs
}

// serversReply is a line on the simulated app servers' standard output: the addresses first, then one reply to each command.
type serversReply struct {
	Addrs           []string `json:"addrs,omitempty"` // by server
	Error           string   `json:"error,omitempty"` // empty if the command succeeded
	ExecutionsBegun []int64  `json:"load,omitempty"`  // executions begun, by server
	LateSends       int64    `json:"late"`            // executions later after the drain than drainGrace and violationTolerance
	Duplicates      int64    `json:"doubled"`         // unsafe requests that were executed a second time
	SafeRepeats     int64    `json:"repeated"`        // safe requests that were executed a second time
	Connections     int64    `json:"conns"`           // accepted
	MaxOpenConns    int64    `json:"most_open"`       // open at the same time
}

// failure returns the error that the worker states, or "".
func (r *serversReply) failure() string { return r.Error }
