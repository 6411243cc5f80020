package emulator

// Stats counts the requests and connections of one server. The JSON keys are a stable format that reports read.
type Stats struct {
	Requests    int64 `json:"Requests"`
	Completed   int64 `json:"Completed"`
	Errors      int64 `json:"Errors"` // responses of 500
	Rejected    int64 `json:"Rejected"`
	Resets      int64 `json:"Resets"` // in the middle of a response
	Malformed   int64 `json:"Spoilt"`
	Unanswered  int64 `json:"Silent"` // not executed
	AnswersLost int64 `json:"Lost"`   // executed, but not answered
	NoID        int64 `json:"NoID"`   // requests without an ID
	Begun       int64 `json:"Runs"`   // executions begun
	BegunTwice  int64 `json:"Twice"`  // request IDs with more than one execution
	Connections int64 `json:"Connections"`
	Refused     int64 `json:"Refused"` // connections reset at the limit
	Restarts    int64 `json:"Restarts"`
}
