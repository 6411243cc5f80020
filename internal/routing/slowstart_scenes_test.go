package routing

import "time"

// slowStartScenes are the scenes of the plays, which the seed selects. In all scenes, traffic is uneven over the nodes.
var slowStartScenes = []string{
	"one",    // one server restarts
	"half",   // half of the servers start at once
	"fleet",  // all of them do
	"fleet",  // twice as often
	"zone",   // a third is lost, the rest overloaded, and it comes back cold; discovery drops it, or not
	"nodes",  // all servers and all nodes restart together
	"again",  // a server restarts, and again under the same uid while it warms up or just has
	"late",   // new servers appear in the list up to 4 s after their start, at each node at another time
	"burst",  // a lull, then a crowd at all nodes right after the start
	"faults", // all others reject or hang: fallbacks and retries land on the warming
	"weight", // the servers' sizes differ, as the list says
	"shift",  // a few nodes have most of the traffic, others every 5 s
	"flap",   // the list drops a server that warms up, and names it again
	"slow",   // servers are three times slower than their capacity says while they warm up, and clients retry
}

// scenario is a play's scene as it is set up.
type scenario struct {
	*slowStartPlay
	started      []*playServer // what starts at startAt
	noticeWithin float64       // s from a change to the last node's notice of it
}

// schedule schedules the events of the play's scenes. A change of the order of its random draws changes the play of each
// seed.
func (p *slowStartPlay) schedule() {
	p.startAt = p.uniformSeconds(8, 14)
	p.endAt = p.startAt + p.slowStartSpan + 2*p.span
	s := &scenario{slowStartPlay: p, started: p.servers[:1+p.rng.IntN(2)], noticeWithin: p.uniform(0, 0.3)}
	if p.rng.IntN(3) == 0 {
		s.noticeWithin = 2
	}
	s.scheduleScene()
	for _, also := range []struct {
		scene    string
		schedule func()
	}{
		{"nodes", s.restartNodes},
		{"burst", s.lullAndBurst},
		{"faults", s.breakOthers},
		{"shift", s.shiftTraffic},
		{"flap", s.flap},
	} {
		if p.hasScene(also.scene) {
			also.schedule()
		}
	}
	p.after(p.startAt, s.startServers)
	if p.rollNodes {
		s.rollingRestart()
	}
}

// scheduleScene sets up what only the play's first scene has.
func (s *scenario) scheduleScene() {
	switch s.scene {
	case "half":
		s.started = s.servers[:len(s.servers)/2]
	case "fleet", "nodes":
		s.started = s.servers
	case "zone":
		s.loseZone()
	case "again":
		next := s.uniformSeconds(2, 1.2*s.slowStartSpan.Seconds())
		s.after(s.startAt+next, s.startServers)
		s.endAt += next
	case "late":
		s.noticeWithin = 4
		for _, sv := range s.started {
			sv.listed, sv.down = false, true
		}
	case "weight":
		s.started = s.servers[:len(s.servers)/3]
	}
}

func (s *scenario) startServers() {
	for _, sv := range s.started {
		s.start(sv)
	}
	s.sendListToAll(s.noticeWithin)
}

func (s *scenario) loseZone() {
	s.started = s.servers[:len(s.servers)*(1+s.rng.IntN(4))/6+1]
	dropped := s.rng.IntN(2) == 0
	s.after(s.startAt-s.uniformSeconds(1, 8), func() {
		for _, sv := range s.started {
			s.stop(sv)
			sv.listed = !dropped
		}
		s.sendListToAll(s.noticeWithin)
	})
}

func (s *scenario) restartNodes() {
	s.after(s.startAt, func() {
		for i, n := range s.nodes {
			n.stopped = true
			s.nodes[i] = s.newNode(i, s.uniformSeconds(0.01, 0.5))
		}
	})
}

func (s *scenario) lullAndBurst() {
	s.after(s.startAt-s.uniformSeconds(1, 6), func() { s.rateFactor = 0 })
	burst := s.startAt + s.uniformSeconds(0, s.slowStartSpan.Seconds()/2)
	s.after(burst, func() {
		s.rateFactor = 4
		for range int(s.requestRate) / 2 { // at once
			s.addRequest(false)
		}
	})
	s.after(burst+2*time.Second, func() { s.rateFactor = 1 })
}

func (s *scenario) breakOthers() {
	s.after(s.startAt, func() {
		for i, sv := range s.servers[min(len(s.started), len(s.servers)/2):] {
			sv.overloaded, sv.hangs = i%2 == 0, i%2 == 1
		}
	})
	s.after(s.startAt+6*time.Second, func() {
		for _, sv := range s.servers {
			sv.overloaded, sv.hangs = false, false
		}
	})
}

func (s *scenario) shiftTraffic() {
	for k := range 10 {
		s.after(time.Duration(k)*5*time.Second, func() { s.spreadTraffic(len(s.nodes)) })
	}
}

func (s *scenario) flap() {
	list := func(listed bool) func() {
		return func() {
			s.started[0].listed = listed
			s.sendListToAll(s.noticeWithin)
		}
	}
	for k := range 3 {
		off := s.startAt + time.Duration(2*k+1)*1500*time.Millisecond
		s.after(off, list(false))
		s.after(off+1200*time.Millisecond, list(true))
	}
}
