package protocol

// Names on the wire, as the platform's documentation defines them. HTTP header names are in canonical form.
//
// Other packages, including internal/lab, use these constants instead of literals.

// Headers of requests.
const (
	// HeaderRequestID is the id of a request, the same for all its attempts.
	HeaderRequestID = "X-Call-Id"
	// HeaderPlan is the name of the customer's plan.
	HeaderPlan = "X-Tariff"
	// HeaderTimeout is the time that the sender waits for the response, in whole milliseconds.
	HeaderTimeout = "X-Budget-Ms"
	// HeaderWeight holds the request's units and the customer's node set. FormatWeight returns its value.
	HeaderWeight = "X-Weight"
	// HeaderClientRetry is ClientRetryValue in a request that a client marks as its retry.
	HeaderClientRetry = "X-Again"

	headerContentType    = "Content-Type"
	headerIdempotencyKey = "Idempotency-Key"
	headerExpect         = "Expect"
	headerHost           = "Host"
)

// Headers of requests and responses. Those that delimit a body stand in framing.go.
const (
	headerConnection = "Connection"
	headerDate       = "Date"
)

// Headers of app servers' responses.
const (
	// HeaderRejected is RejectedValue in the response of an app server that has not executed the attempt.
	HeaderRejected = "X-Rejected"
	// HeaderUnits is the cost of an executed request, in units.
	HeaderUnits = "X-True-Cost"
	// HeaderLoadReport is a load report of the app server.
	HeaderLoadReport = "X-Load-Report"
)

// Values of headers.
const (
	// RejectedValue is the value of HeaderRejected.
	RejectedValue = "1"
	// ClientRetryValue is the value of HeaderClientRetry.
	ClientRetryValue = "1"
)

// Paths.
const (
	// HealthPath is the path of health checks, of a node and of an app server.
	HealthPath = "/healthz"
	// LoadPath is the path of an app server's load report.
	LoadPath = "/load"
	// EndpointsPath is the path of discovery's endpoint list.
	EndpointsPath = "/v1/servers"
)

// Query parameters of EndpointsPath.
const (
	// QueryRevision is the revision after which the caller asks for changes. Without it the caller asks for the full list.
	QueryRevision = "from"
	// QueryHoldMs is the time for which discovery may hold the call until there is a change, in milliseconds.
	QueryHoldMs = "hold_ms"
)

// Names of the fields of HeaderWeight. The fields have the form name=value and are separated by commas.
const (
	// WeightUnits is the expected cost of the request, in units.
	WeightUnits = "units"
	// WeightSpread is the number of nodes in the customer's node set.
	WeightSpread = "spread"
	// WeightFirstNode is the first node of the customer's node set.
	WeightFirstNode = "first"
)
