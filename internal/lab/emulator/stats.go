package emulator

// Stats counts the requests and connections of one server. The JSON keys are a stable format, which reports read.
type Stats struct {
	Requests        int64 `json:"Requests"`    // requests, including those without an ID but not health checks
	Completed       int64 `json:"Completed"`   // correct responses
	Errors          int64 `json:"Errors"`      // responses with status 500
	Rejected        int64 `json:"Rejected"`    // requests rejected without execution
	Resets          int64 `json:"Resets"`      // connections reset in the middle of a response
	Malformed       int64 `json:"Spoilt"`      // responses with the body of another request
	Unanswered      int64 `json:"Silent"`      // requests that were not executed and got no response
	ResponsesLost   int64 `json:"Lost"`        // requests that were executed but got no response
	NoID            int64 `json:"NoID"`        // requests without an ID
	ExecutionsBegun int64 `json:"Runs"`        // executions that have begun
	ExecutedTwice   int64 `json:"Twice"`       // request IDs with more than one execution
	Connections     int64 `json:"Connections"` // connections accepted within the limit
	Refused         int64 `json:"Refused"`     // connections reset at the limit
	Restarts        int64 `json:"Restarts"`    // restarts begun
}
