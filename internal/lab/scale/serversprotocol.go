package scale

// serversVerb is the action of a command to the simulated app servers.
type serversVerb string

// The commands to the simulated app servers. Capitalized words are the fields of serversCommand that a command uses.
const (
	serversDrain   serversVerb = "drain"   // drain Servers; At is the time of publication
	serversUndrain serversVerb = "undrain" // set Servers in service again
	serversKill    serversVerb = "kill"    // let Servers reset their connections and refuse new ones
	serversRestart serversVerb = "revive"  // let Servers listen again
	serversReport  serversVerb = "report"  // return all counts
)

// serversCommand is a line of the simulated app servers' standard input.
type serversCommand struct {
	Verb    serversVerb `json:"do"`
	Servers []int       `json:"servers"` // server numbers
	At      int64       `json:"at"`      // time at which a drain was published, Unix µs
}

// serversReply is a line of the simulated app servers' standard output. The first line holds the addresses; each further line
// is the reply to a command.
type serversReply struct {
	Addrs           []string `json:"addrs,omitempty"` // addresses by server number
	Error           string   `json:"error,omitempty"` // error of the command; empty: no error
	ExecutionsBegun []int64  `json:"load,omitempty"`  // executions begun, by server number
	LateSends       int64    `json:"late"`            // executions later than drainGrace and violationTolerance after a drain
	Duplicates      int64    `json:"doubled"`         // unsafe requests that servers executed a second time
	SafeRepeats     int64    `json:"repeated"`        // safe requests that servers executed a second time
	Connections     int64    `json:"conns"`           // number of accepted connections
	MaxOpenConns    int64    `json:"most_open"`       // largest number of connections open at the same time
}

// failure returns the error of the command, or "" if there was none.
func (r *serversReply) failure() string { return r.Error }
