package decision

// Reason is why a request was rejected or failed, or why it had no further attempt. It decides nothing: the host logs it.
type Reason uint8

// The reasons.
const (
	ReasonNone          Reason = iota
	ReasonTooLate              // too little time is left
	ReasonColdStart            // a fresh node's few are in flight
	ReasonAdmissionRate        // no token of the admission rate
	ReasonConcurrency          // as much is in flight as may be
	ReasonQuota                // the customer's bucket, or its owner
	ReasonCeiling              // the plan's hard ceiling
	ReasonNoServer             // no server may take it
	ReasonMaxAttempts          // it had all attempts that the settings allow
	ReasonRetryBudget          // too many retries of late
	ReasonMayHaveRun           // an attempt may have run, and must not run again
	reasonCount
)

var reasonNames = [reasonCount]string{
	"", "too-late", "cold-start", "admission-rate", "concurrency", "quota", "ceiling", "no-server", "max-attempts",
	"retry-budget", "may-have-run",
}

// String is the reason's name in the log.
func (r Reason) String() string { return reasonNames[r] }

// reason is a rejection's.
func (r rejectReason) reason() Reason { return ReasonTooLate + Reason(r) }
