package emulator

// Stats is what one server saw, as counts. The JSON keys are those of earlier versions.
type Stats struct {
	Requests    int64 `json:"Requests"`
	Completed   int64 `json:"Completed"`
	Errors      int64 `json:"Errors"`
	Rejected    int64 `json:"Rejected"`
	Resets      int64 `json:"Resets"`
	Malformed   int64 `json:"Spoilt"`
	Unanswered  int64 `json:"Silent"` // never run
	AnswersLost int64 `json:"Lost"`   // run, not answered
	NoID        int64 `json:"NoID"`
	Begun       int64 `json:"Runs"`  // requests that began to run
	BegunTwice  int64 `json:"Twice"` // IDs that began more than once
	Connections int64 `json:"Connections"`
	Refused     int64 `json:"Refused"` // connections reset at the limit
	Restarts    int64 `json:"Restarts"`
}
