// Package decision decides for one edge node which requests are admitted and where their attempts go. It does no input
// or output and starts no goroutine. A host makes an Engine with New, sets the time with SetTime, reports what came in
// (UpdateEndpoints, AddRequest, AttemptEnded, ResponseStarted, ClientGone, HealthChecked, ReceivePeerMessage,
// SetLease, TimerFired), which only updates what is known, and then calls Next again and again until it says that
// there is no more. An Engine is not safe for concurrent use.
//
// Each mechanism is a type in a file of its own: admissionLimit, tenantQuota, quotaOwner, usageReports, subsetChooser,
// selection, slowStart, outlierDetector, retryBudget, timers and pause. They hold every decision and tuned value
// (tuning.go), get the time and what they need to know as arguments, and don't know each other. The Engine joins them
// (decide.go), and keeps the books that decide nothing: requests, customers, servers, messages, settings.
//
// A request passes the admission limit, then its customer's quota, at this node or by the quota owner, then a hard
// ceiling; past one of them it is rejected at once. Then a server is selected, by a weighted rotation over the subset
// of servers that this node uses, less those that are ejected or under slow start have had their share. An attempt
// that failed may be retried by a budget; one that is late at an ejected server is cancelled and sent again.
package decision
