package scale

import (
	"math"
	"slices"
	"time"
)

// Result is what a run measured, as its one JSON line. docs/lab.md says what each figure is.
type Result struct {
	Nodes     int      `json:"nodes"`
	Real      int      `json:"real"`
	Simulated int      `json:"hollow"`
	Servers   int      `json:"servers"`
	Tenants   int      `json:"tenants"`
	Seed      uint64   `json:"seed"`
	DurationS float64  `json:"for_s"`
	SetupS    float64  `json:"setup_s"`
	Faults    []string `json:"troubles"`

	Sent           int64 `json:"sent"`
	Completed      int64 `json:"completed"`
	Rejected       int64 `json:"refused"`
	Failed         int64 `json:"failed"`
	OtherStatus    int64 `json:"other_status"`
	LateAnswers    int64 `json:"late_answers"`
	ConnectFailed  int64 `json:"unreached"`
	Unanswered     int64 `json:"unanswered"`
	Duplicates     int64 `json:"duplicates"`
	SafeRepeats    int64 `json:"safe_repeats"`
	SendsToDrained int64 `json:"sends_to_drained"`

	SimulatedRequests NodeRequests `json:"hollow_requests"`

	Direct           int64   `json:"straight"`
	DirectFailed     int64   `json:"straight_failed"`
	ViaNodeP50       float64 `json:"through_p50_ms"`
	ViaNodeP99       float64 `json:"through_p99_ms"`
	DirectP50        float64 `json:"straight_p50_ms"`
	DirectP99        float64 `json:"straight_p99_ms"`
	AddedP50         float64 `json:"added_p50_ms"`
	AddedP99         float64 `json:"added_p99_ms"`
	CoreShare        float64 `json:"core_share"`
	MaxCoreShare     float64 `json:"core_share_most"`
	QuietRequestRate float64 `json:"quiet_requests_s"`
	ControlShare     float64 `json:"control_core_share"`
	MaxControlShare  float64 `json:"control_core_share_most"`
	CPUMsPerRequest  float64 `json:"cpu_ms_per_request"`
	RSSMiB           float64 `json:"rss_mib"`
	PeakRSSMiB       float64 `json:"peak_rss_mib"`

	DiscoveryFullBytes   float64              `json:"discovery_whole_bytes_s"`
	DiscoveryChangeBytes float64              `json:"discovery_changes_bytes_s"`
	DiscoveryFullLists   float64              `json:"discovery_whole_lists"`
	Peers                map[string]PeerBytes `json:"peers"`
	BroadcastsLost       int64                `json:"peers_all_lost"`

	Changes           int     `json:"changes"`
	ChangesNotApplied int     `json:"changes_not_in_force"`
	Applied99         float64 `json:"in_force_99_s"`
	MaxApplied99      float64 `json:"in_force_99_most_s"`
	AppliedAll        float64 `json:"in_force_all_s"`
	MaxAppliedAll     float64 `json:"in_force_all_most_s"`
	AppliedReal       float64 `json:"in_force_real_s"`
	MaxAppliedReal    float64 `json:"in_force_real_most_s"`

	LoadMean           float64 `json:"load_mean"`
	LoadMax            float64 `json:"load_max_over_mean"`
	LoadP99            float64 `json:"load_p99_over_mean"`
	ServerConns        int64   `json:"server_connections"`
	MaxOpenServerConns int64   `json:"server_connections_most_open"`

	Sections []Section `json:"sections"`

	LagP99          float64 `json:"lag_p99_ms"`
	SimulatedLagP99 float64 `json:"hollow_lag_p99_ms"`
	TimerLagP99     float64 `json:"hollow_tick_lag_p99_ms"`
	Behind          bool    `json:"behind"`
	SimulatedBehind bool    `json:"hollow_behind"`
	LabCores        float64 `json:"lab_cores"`
	ServerCores     float64 `json:"servers_cores"`
	SimulatedCores  float64 `json:"hollow_cores"`
	SimulatedMiB    float64 `json:"hollow_rss_mib"`
	ServersMiB      float64 `json:"servers_rss_mib"`

	Restarts          int `json:"restarts"`
	SimulatedRestarts int `json:"hollow_restarts"`

	Exited int `json:"real_ended_by_themselves"`
	Killed int `json:"real_killed"`
}

// NodeRequests are the synthetic requests of the hollow nodes.
type NodeRequests struct {
	hollowSection
	Unanswered int64 `json:"unanswered"`
}

// PeerBytes are datagrams of one kind, a hollow node and second.
type PeerBytes struct {
	In       float64 `json:"in_s"`
	InBytes  float64 `json:"in_bytes_s"`
	Out      float64 `json:"out_s"`
	OutBytes float64 `json:"out_bytes_s"`
}

// Section is one part of the run.
type Section struct {
	Name         string  `json:"name"`
	DurationS    float64 `json:"for_s"`
	Sent         int64   `json:"sent"`
	Completed    int64   `json:"completed"`
	Rejected     int64   `json:"refused"`
	Failed       int64   `json:"failed"`
	Unanswered   int64   `json:"unanswered"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Direct       int64   `json:"straight"`
	DirectP50    float64 `json:"straight_p50_ms"`
	DirectP99    float64 `json:"straight_p99_ms"`
	AddedP50     float64 `json:"added_p50_ms"`
	AddedP99     float64 `json:"added_p99_ms"`
	SimulatedP99 float64 `json:"hollow_p99_ms"`
}

var markNames = map[byte]string{0xC8: "use", 0xC9: "grant", 0xCA: "doubts", 0xCB: "ask", 0: "other"}

const behindMs = 10.0 // as lab load's

// shares are the core shares of the real nodes since a look, and the cores of the rest.
func (l *lab) shares(since usage) (mean, most float64, rest map[string]float64) {
	now := l.measure()
	span := now.at.Sub(since.at).Seconds()
	for k := range now.real {
		v := (now.real[k] - since.real[k]).Seconds() / span
		mean += v / float64(len(now.real))
		most = max(most, v)
	}
	rest = map[string]float64{}
	for name, v := range now.rest {
		rest[name] = (v - since.rest[name]).Seconds() / span
	}
	return mean, most, rest
}

// quiet notes the core shares of the section without trouble.
func (r *Result) quiet(l *lab, since usage) {
	var rest map[string]float64
	r.CoreShare, r.MaxCoreShare, rest = l.shares(since)
	r.LabCores, r.ServerCores, r.SimulatedCores = rest["lab"], rest["servers"], rest["hollow"]
	r.QuietRequestRate = float64(l.clients.now.Load().sent.Load()) / time.Since(since.at).Seconds() / float64(len(l.nodes))
}

// idle notes the shares of the last part, in which the real nodes have no requests.
func (r *Result) idle(l *lab, since usage) {
	r.ControlShare, r.MaxControlShare, _ = l.shares(since)
	if r.QuietRequestRate > 0 {
		r.CPUMsPerRequest = max(0, r.CoreShare-r.ControlShare) / r.QuietRequestRate * 1e3
	}
}

// gather ends the counting and fills in the rest.
func (r *Result) gather(l *lab) error {
	c := &l.cfg
	r.Nodes, r.Real, r.Simulated, r.Servers, r.Tenants, r.Seed = c.Nodes, c.Real, c.Simulated, c.Servers, c.Tenants, c.Seed
	r.DurationS, r.Faults = c.Duration.Seconds(), c.Faults
	var word hollowWord
	if err := l.askHollow(hollowOrder{Do: "report"}, &word); err != nil {
		return err
	}
	var apps serverWord
	if err := l.askServers(serverOrder{Do: "report"}, &apps); err != nil {
		return err
	}
	h := word.Report
	through, straight := newHist(), newHist()
	for k, s := range l.sections {
		r.Sent += s.sent.Load()
		r.Completed += s.completed.Load()
		r.Rejected += s.refused.Load()
		r.Failed += s.failed.Load()
		r.OtherStatus += s.otherwords.Load()
		r.LateAnswers += s.late.Load()
		r.ConnectFailed += s.unreached.Load()
		r.Unanswered += s.unanswered.Load()
		r.DirectFailed += s.straightFailed.Load()
		s.mu.Lock()
		r.Sections = append(r.Sections, Section{Name: s.name, DurationS: s.ended.Sub(s.began).Seconds(), Sent: s.sent.Load(),
			Completed: s.completed.Load(), Rejected: s.refused.Load(), Failed: s.failed.Load(), Unanswered: s.unanswered.Load(),
			P50: quantile(s.through, 50), P99: quantile(s.through, 99), Direct: s.straight.TotalCount(),
			DirectP50: quantile(s.straight, 50), DirectP99: quantile(s.straight, 99),
			AddedP50: quantile(s.through, 50) - quantile(s.straight, 50),
			AddedP99: quantile(s.through, 99) - quantile(s.straight, 99), SimulatedP99: s.hollow.P99})
		if k > 0 { // but for the warm-up
			through.Merge(s.through)
			straight.Merge(s.straight)
		}
		s.mu.Unlock()
	}
	r.Direct = straight.TotalCount()
	r.ViaNodeP50, r.ViaNodeP99 = quantile(through, 50), quantile(through, 99)
	r.DirectP50, r.DirectP99 = quantile(straight, 50), quantile(straight, 99)
	r.AddedP50, r.AddedP99 = r.ViaNodeP50-r.DirectP50, r.ViaNodeP99-r.DirectP99
	r.Duplicates, r.SafeRepeats = apps.Doubled+h.Doubled, apps.Repeated
	r.SendsToDrained = apps.Late + h.Late
	r.ServerConns, r.MaxOpenServerConns = apps.Conns, apps.MostOpen
	r.SimulatedRequests = NodeRequests{h.hollowSection, h.Unanswered}
	r.SimulatedLagP99 = h.LagP99
	l.clients.mu.Lock()
	r.LagP99 = quantile(l.clients.lag, 99)
	l.clients.mu.Unlock()
	r.TimerLagP99 = h.TickLag
	r.Behind, r.SimulatedBehind = r.LagP99 > behindMs, max(r.SimulatedLagP99, r.TimerLagP99) > behindMs || h.Skipped > 0
	for _, n := range l.nodes {
		n.memory()
		r.RSSMiB, r.PeakRSSMiB = max(r.RSSMiB, float64(n.rss)/1024), max(r.PeakRSSMiB, float64(n.hwm)/1024)
		select {
		case <-n.p.ended:
			r.Exited++
		default:
		}
		r.Exited += n.unexpected
	}
	r.Restarts, r.SimulatedRestarts = l.starts, l.rolled
	r.SimulatedMiB, r.ServersMiB = residentMiB(l.hollow.cmd.Process.Pid), residentMiB(l.apps.cmd.Process.Pid)
	r.peers(h, c.Simulated)
	r.discovery(l, h.ForS)
	r.inForce(l, h)
	r.load(l, apps.Load, h.Load)
	return nil
}

func (r *Result) peers(h *hollowReport, nodes int) {
	r.Peers, r.BroadcastsLost = map[string]PeerBytes{}, h.Lost
	each := 1 / (h.ForS * float64(max(1, nodes)))
	for _, p := range h.Peers {
		if p.In+p.Out > 0 {
			r.Peers[markNames[p.Mark]] = PeerBytes{float64(p.In) * each, float64(p.InBytes) * each, float64(p.Out) * each,
				float64(p.OutBytes) * each}
		}
	}
}

// discovery is what the agent told a real node, a second.
func (r *Result) discovery(l *lab, span float64) {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	each := 1 / (span * float64(len(l.nodes)))
	for _, t := range l.agent.nodes[:len(l.nodes)] {
		r.DiscoveryFullBytes += float64(t.bytes) * each
		r.DiscoveryChangeBytes += float64(t.small) * each
		r.DiscoveryFullLists += float64(t.wholes) / float64(len(l.nodes))
	}
}

// inForce finds for each change how long it took until so many nodes had it.
func (r *Result) inForce(l *lab, h *hollowReport) {
	var most99, mostAll, real []float64
	for _, ch := range l.changes {
		r.Changes++
		var took []float64
		missing := 0
		for k, up := range ch.up {
			if !up {
				continue
			}
			if at := l.agent.inForce(k, ch.rev, ch.at); !at.IsZero() {
				took = append(took, at.Sub(ch.at).Seconds())
			} else {
				missing++
			}
		}
		if len(took) > 0 {
			real = append(real, slices.Max(took))
		}
		found := false
		for _, list := range h.Lists {
			if list.Rev < ch.rev {
				continue
			}
			for _, at := range list.At {
				if at > 0 { // it was not away
					took = append(took, max(0, float64(at-ch.at.UnixMicro())/1e6))
				}
			}
			found = true
			break
		}
		if missing > 0 || !found && l.cfg.Simulated > 0 {
			r.ChangesNotApplied++
			continue
		}
		if len(took) == 0 {
			continue
		}
		slices.Sort(took)
		most99 = append(most99, took[int(math.Ceil(0.99*float64(len(took))))-1])
		mostAll = append(mostAll, took[len(took)-1])
	}
	r.Applied99, r.MaxApplied99 = middleAndMost(most99)
	r.AppliedAll, r.MaxAppliedAll = middleAndMost(mostAll)
	r.AppliedReal, r.MaxAppliedReal = middleAndMost(real)
}

func middleAndMost(v []float64) (middle, most float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}

// load is how evenly attempts fell on the servers that were in service all along.
func (r *Result) load(l *lab, real, hollow []int64) {
	var loads []float64
	sum := 0.0
	for i := range l.cfg.Servers {
		if !l.touched[i] {
			loads = append(loads, float64(real[i]+hollow[i]))
			sum += loads[len(loads)-1]
		}
	}
	if sum == 0 {
		return
	}
	slices.Sort(loads)
	r.LoadMean = sum / float64(len(loads))
	r.LoadMax = loads[len(loads)-1] / r.LoadMean
	r.LoadP99 = loads[min(len(loads)*99/100, len(loads)-1)] / r.LoadMean
}

func residentMiB(pid int) float64 {
	raw, err := readStatus(pid)
	if err != nil {
		return 0
	}
	return float64(field(raw, "VmHWM:")) / 1024
}
