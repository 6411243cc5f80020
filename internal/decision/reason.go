package decision

// Reason is the cause of a rejection, of a failure, or of a missing retry. It is for the host's log.
type Reason uint8

// The reasons.
const (
	ReasonNone          Reason = iota
	ReasonTooLate              // too little time is left before the deadline for an attempt to end
	ReasonColdStart            // the concurrency limit of a node that knows no base latency yet
	ReasonAdmissionRate        // no token of the admission rate
	ReasonConcurrency          // the concurrency limit
	ReasonQuota                // the customer's quota, here or at its owner
	ReasonCeiling              // the plan's hard ceiling
	ReasonNoServer             // no server may take the request
	ReasonMaxAttempts          // the request had the maximum number of attempts
	ReasonRetryBudget          // the retry budget is used up
	ReasonMayHaveRun           // a server may have executed the request, which must not run again
	reasonCount

	// The reasons that the interval summary counts, in its order.
	firstSummaryReason = ReasonTooLate
	lastSummaryReason  = ReasonNoServer
)

var reasonNames = [reasonCount]string{
	"", "too-late", "cold-start", "admission-rate", "concurrency", "quota", "ceiling", "no-server", "max-attempts",
	"retry-budget", "may-have-run",
}

// String returns the reason's name in the log.
func (r Reason) String() string { return reasonNames[r] }
