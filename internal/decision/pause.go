package decision

import "slices"

// pause detects scheduling pauses: spans in which the host asked for a timer but did not call the engine.
//
//   - Inputs: the times of the host's calls.
//   - State: the length and the end of the last pause, and the number of requests that arrived during it.
//   - Rule: after a pause, the requests that arrived during it are decided in reverse order: the last ones still have
//     time left. Their arrival times are set as if they had arrived evenly over the pause.
//   - Protects against: time spent on requests whose clients have disconnected, directly after the pause.
//   - Trade-off: if the host was only late to call, requests count as older than they are.
type pause struct {
	length  Time // length of the last pause; 0 before the first one
	endedAt Time // time at which the last pause ended
	arrived int  // requests that arrived during the pause and are not yet reordered
}

// minPauseDivisor gives the shortest pause, as a divisor of the shortest latency objective.
const minPauseDivisor = 4

// observe records a pause if the time between two calls of SetTime exceeds the objective over minPauseDivisor.
func (p *pause) observe(last, now, objective Time) {
	if gap := now - last; gap > objective/minPauseDivisor {
		p.length, p.endedAt = gap, now
	}
}

// reorder reverses the requests that arrived during the pause and sets their arrival times.
func (p *pause) reorder(t *requestTable, now Time) {
	if p.arrived == 0 {
		return
	}
	late := t.pending[max(0, len(t.pending)-p.arrived):]
	count := len(late)
	for k, i := range late {
		if r := &t.all[i]; r.arrivedAt == now {
			r.arrivedAt -= p.length * Time(2*(count-k)-1) / Time(2*count) // middle of the k-th part of the pause
		}
	}
	slices.Reverse(late)
	p.arrived = 0
}
