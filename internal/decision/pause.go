package decision

import "slices"

// pause is a stretch in which this node got no turn though it had asked for one, as where the machine is
// overloaded. What came meanwhile is put in order: the last first, since those are in time yet. It guards
// against a node that spends its first turn on requests whose clients are gone. It could harm where the host
// calls late though requests were answered in time: they would then be taken for older than they are.
type pause struct {
	length  Time
	endedAt Time
	arrived int // requests that came meanwhile, not looked at yet
}

// observe notes the time between two turns.
func (p *pause) observe(last, now, objective Time) {
	if gap := now - last; gap > objective/4 {
		p.length, p.endedAt = gap, now
	}
}

// reorder puts the requests that came in the pause in order, the last first, each with the time that it has
// waited by its place, as if they came evenly over the whole pause.
func (p *pause) reorder(t *requestTable, now Time) {
	if p.arrived == 0 {
		return
	}
	late := t.pending[max(0, len(t.pending)-p.arrived):]
	for k, i := range late {
		if r := &t.all[i]; r.arrived == now {
			r.arrived -= p.length * Time(2*(len(late)-k)-1) / Time(2*len(late))
		}
	}
	slices.Reverse(late)
	p.arrived = 0
}
