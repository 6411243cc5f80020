// Package decision decides for one edge node which requests are admitted and where their attempts are sent. It performs
// no input or output and starts no goroutine.
//
// A host creates an Engine with New. For each event it sets the time with SetTime and calls one of UpdateEndpoints,
// ObserveServerClock, AddRequest, AttemptEnded, ResponseStarted, ClientGone, HealthChecked, ReceivePeerMessage, SetLease
// and TimerFired. These only update the engine's state. The host then calls Next until it returns false, and carries out
// each decision. An Engine is not safe for concurrent use.
//
// A request must pass the admission limit, its customer's quota and the plan's hard ceiling. Otherwise the request is
// rejected at once. A weighted rotation then selects a server of this node's subset. The rotation leaves out ejected
// servers and those whose slow-start budget is used up. A failed attempt may be retried within a budget. A late attempt
// at an ejected server is cancelled, and the request is sent again.
//
// Each mechanism is a type in its own file, with its constants: admissionLimit, throughput, tenantQuota, quotaOwner,
// usageReports, subsetChooser, selection, slowStart, outlierDetector, retryBudget, timers and pause. The Engine combines
// them in decide.go and next.go. A mechanism that needs another one receives it as a parameter. The Engine also holds the
// tables of requests, customers and servers, which make no decisions.
package decision
