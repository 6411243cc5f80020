package emulator

// Stats counts the events of a server. The JSON keys stay as they are, because reports of all versions share them.
type Stats struct {
	Requests    int64 `json:"Requests"`    // requests received, except health checks
	Completed   int64 `json:"Completed"`   // responses with status 200 and the right body
	Errors      int64 `json:"Errors"`      // responses with status 500
	Rejected    int64 `json:"Rejected"`    // rejected requests
	Resets      int64 `json:"Resets"`      // connections reset within a response
	Malformed   int64 `json:"Spoilt"`      // responses with the body of another request
	Unanswered  int64 `json:"Silent"`      // requests neither executed nor responded to
	AnswersLost int64 `json:"Lost"`        // requests executed and not responded to
	NoID        int64 `json:"NoID"`        // requests without an id
	Begun       int64 `json:"Runs"`        // executions begun
	BegunTwice  int64 `json:"Twice"`       // request ids with more than one execution
	Connections int64 `json:"Connections"` // connections accepted since the last restart
	Refused     int64 `json:"Refused"`     // connections reset because of the limit since the last restart
	Restarts    int64 `json:"Restarts"`    // restarts by the schedule
}
