package scale

import (
	"math"
	"slices"
	"time"
)

// Result is what a run measured, as its one JSON line. docs/lab.md says what each figure is.
type Result struct {
	Nodes    int      `json:"nodes"`
	Real     int      `json:"real"`
	Hollow   int      `json:"hollow"`
	Servers  int      `json:"servers"`
	Tenants  int      `json:"tenants"`
	Seed     uint64   `json:"seed"`
	ForS     float64  `json:"for_s"`
	SetupS   float64  `json:"setup_s"`
	Troubles []string `json:"troubles"`

	Sent           int64 `json:"sent"`
	Completed      int64 `json:"completed"`
	Refused        int64 `json:"refused"`
	Failed         int64 `json:"failed"`
	Other          int64 `json:"other_status"`
	Late           int64 `json:"late_answers"`
	Unreached      int64 `json:"unreached"`
	Unanswered     int64 `json:"unanswered"`
	Duplicates     int64 `json:"duplicates"`
	SafeRepeats    int64 `json:"safe_repeats"`
	SendsToDrained int64 `json:"sends_to_drained"`

	HollowRequests HollowRequests `json:"hollow_requests"`

	Straight      int64   `json:"straight"`
	StraightBad   int64   `json:"straight_failed"`
	ThroughP50    float64 `json:"through_p50_ms"`
	ThroughP99    float64 `json:"through_p99_ms"`
	StraightP50   float64 `json:"straight_p50_ms"`
	StraightP99   float64 `json:"straight_p99_ms"`
	AddedP50      float64 `json:"added_p50_ms"`
	AddedP99      float64 `json:"added_p99_ms"`
	CoreShare     float64 `json:"core_share"`
	CoreShareMost float64 `json:"core_share_most"`
	QuietRate     float64 `json:"quiet_requests_s"`
	ControlShare  float64 `json:"control_core_share"`
	ControlMost   float64 `json:"control_core_share_most"`
	CPUPerRequest float64 `json:"cpu_ms_per_request"`
	RSSMiB        float64 `json:"rss_mib"`
	PeakMiB       float64 `json:"peak_rss_mib"`

	DiscoveryWhole   float64              `json:"discovery_whole_bytes_s"`
	DiscoveryChanges float64              `json:"discovery_changes_bytes_s"`
	DiscoveryLists   float64              `json:"discovery_whole_lists"`
	Peers            map[string]PeerBytes `json:"peers"`
	PeersLost        int64                `json:"peers_all_lost"`

	Changes        int     `json:"changes"`
	NotInForce     int     `json:"changes_not_in_force"`
	InForce99      float64 `json:"in_force_99_s"`
	InForce99Most  float64 `json:"in_force_99_most_s"`
	InForceAll     float64 `json:"in_force_all_s"`
	InForceAllMost float64 `json:"in_force_all_most_s"`
	InForceReal    float64 `json:"in_force_real_s"`
	InForceRealMax float64 `json:"in_force_real_most_s"`

	LoadMean float64 `json:"load_mean"`
	LoadMax  float64 `json:"load_max_over_mean"`
	LoadP99  float64 `json:"load_p99_over_mean"`
	Conns    int64   `json:"server_connections"`
	ConnsMax int64   `json:"server_connections_most_open"`

	Sections []Section `json:"sections"`

	LagP99       float64 `json:"lag_p99_ms"`
	HollowLagP99 float64 `json:"hollow_lag_p99_ms"`
	TickLagP99   float64 `json:"hollow_tick_lag_p99_ms"`
	Behind       bool    `json:"behind"`
	HollowBehind bool    `json:"hollow_behind"`
	LabCores     float64 `json:"lab_cores"`
	ServerCores  float64 `json:"servers_cores"`
	HollowCores  float64 `json:"hollow_cores"`
	HollowMiB    float64 `json:"hollow_rss_mib"`
	ServersMiB   float64 `json:"servers_rss_mib"`

	Restarts       int `json:"restarts"`
	HollowRestarts int `json:"hollow_restarts"`

	EndedItself int `json:"real_ended_by_themselves"`
	Killed      int `json:"real_killed"`
}

// HollowRequests are the synthetic requests of the hollow nodes.
type HollowRequests struct {
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
	Name        string  `json:"name"`
	ForS        float64 `json:"for_s"`
	Sent        int64   `json:"sent"`
	Completed   int64   `json:"completed"`
	Refused     int64   `json:"refused"`
	Failed      int64   `json:"failed"`
	Unanswered  int64   `json:"unanswered"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	Straight    int64   `json:"straight"`
	StraightP50 float64 `json:"straight_p50_ms"`
	StraightP99 float64 `json:"straight_p99_ms"`
	AddedP50    float64 `json:"added_p50_ms"`
	AddedP99    float64 `json:"added_p99_ms"`
	HollowP99   float64 `json:"hollow_p99_ms"`
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
	r.CoreShare, r.CoreShareMost, rest = l.shares(since)
	r.LabCores, r.ServerCores, r.HollowCores = rest["lab"], rest["servers"], rest["hollow"]
	r.QuietRate = float64(l.clients.now.Load().sent.Load()) / time.Since(since.at).Seconds() / float64(len(l.nodes))
}

// idle notes the shares of the last part, in which the real nodes have no requests.
func (r *Result) idle(l *lab, since usage) {
	r.ControlShare, r.ControlMost, _ = l.shares(since)
	if r.QuietRate > 0 {
		r.CPUPerRequest = max(0, r.CoreShare-r.ControlShare) / r.QuietRate * 1e3
	}
}

// gather ends the counting and fills in the rest.
func (r *Result) gather(l *lab) error {
	c := &l.cfg
	r.Nodes, r.Real, r.Hollow, r.Servers, r.Tenants, r.Seed = c.Nodes, c.Real, c.Hollow, c.Servers, c.Tenants, c.Seed
	r.ForS, r.Troubles = c.For.Seconds(), c.Troubles
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
		r.Refused += s.refused.Load()
		r.Failed += s.failed.Load()
		r.Other += s.otherwords.Load()
		r.Late += s.late.Load()
		r.Unreached += s.unreached.Load()
		r.Unanswered += s.unanswered.Load()
		r.StraightBad += s.straightFailed.Load()
		s.mu.Lock()
		r.Sections = append(r.Sections, Section{
			Name: s.name, ForS: s.ended.Sub(s.began).Seconds(), Sent: s.sent.Load(),
			Completed: s.completed.Load(), Refused: s.refused.Load(), Failed: s.failed.Load(), Unanswered: s.unanswered.Load(),
			P50: quantile(s.through, 50), P99: quantile(s.through, 99), Straight: s.straight.TotalCount(),
			StraightP50: quantile(s.straight, 50), StraightP99: quantile(s.straight, 99),
			AddedP50: quantile(s.through, 50) - quantile(s.straight, 50),
			AddedP99: quantile(s.through, 99) - quantile(s.straight, 99), HollowP99: s.hollow.P99,
		})
		if k > 0 { // but for the warm-up
			through.Merge(s.through)
			straight.Merge(s.straight)
		}
		s.mu.Unlock()
	}
	r.Straight = straight.TotalCount()
	r.ThroughP50, r.ThroughP99 = quantile(through, 50), quantile(through, 99)
	r.StraightP50, r.StraightP99 = quantile(straight, 50), quantile(straight, 99)
	r.AddedP50, r.AddedP99 = r.ThroughP50-r.StraightP50, r.ThroughP99-r.StraightP99
	r.Duplicates, r.SafeRepeats = apps.Doubled+h.Doubled, apps.Repeated
	r.SendsToDrained = apps.Late + h.Late
	r.Conns, r.ConnsMax = apps.Conns, apps.MostOpen
	r.HollowRequests = HollowRequests{h.hollowSection, h.Unanswered}
	r.HollowLagP99 = h.LagP99
	l.clients.mu.Lock()
	r.LagP99 = quantile(l.clients.lag, 99)
	l.clients.mu.Unlock()
	r.TickLagP99 = h.TickLag
	r.Behind, r.HollowBehind = r.LagP99 > behindMs, max(r.HollowLagP99, r.TickLagP99) > behindMs || h.Skipped > 0
	for _, n := range l.nodes {
		n.memory()
		r.RSSMiB, r.PeakMiB = max(r.RSSMiB, float64(n.rss)/1024), max(r.PeakMiB, float64(n.hwm)/1024)
		select {
		case <-n.p.ended:
			r.EndedItself++
		default:
		}
		r.EndedItself += n.unexpected
	}
	r.Restarts, r.HollowRestarts = l.starts, l.rolled
	r.HollowMiB, r.ServersMiB = residentMiB(l.hollow.cmd.Process.Pid), residentMiB(l.apps.cmd.Process.Pid)
	r.peers(h, c.Hollow)
	r.discovery(l, h.ForS)
	r.inForce(l, h)
	r.load(l, apps.Load, h.Load)
	return nil
}

func (r *Result) peers(h *hollowReport, nodes int) {
	r.Peers, r.PeersLost = map[string]PeerBytes{}, h.Lost
	each := 1 / (h.ForS * float64(max(1, nodes)))
	for _, p := range h.Peers {
		if p.In+p.Out > 0 {
			r.Peers[markNames[p.Mark]] = PeerBytes{
				float64(p.In) * each, float64(p.InBytes) * each, float64(p.Out) * each,
				float64(p.OutBytes) * each,
			}
		}
	}
}

// discovery is what the agent told a real node, a second.
func (r *Result) discovery(l *lab, span float64) {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	each := 1 / (span * float64(len(l.nodes)))
	for _, t := range l.agent.nodes[:len(l.nodes)] {
		r.DiscoveryWhole += float64(t.bytes) * each
		r.DiscoveryChanges += float64(t.small) * each
		r.DiscoveryLists += float64(t.wholes) / float64(len(l.nodes))
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
		if missing > 0 || !found && l.cfg.Hollow > 0 {
			r.NotInForce++
			continue
		}
		if len(took) == 0 {
			continue
		}
		slices.Sort(took)
		most99 = append(most99, took[int(math.Ceil(0.99*float64(len(took))))-1])
		mostAll = append(mostAll, took[len(took)-1])
	}
	r.InForce99, r.InForce99Most = middleAndMost(most99)
	r.InForceAll, r.InForceAllMost = middleAndMost(mostAll)
	r.InForceReal, r.InForceRealMax = middleAndMost(real)
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
