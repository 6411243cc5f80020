package scale

import (
	"math"
	"slices"
	"time"

	"cherrygap/internal/lab/histogram"
)

// behindLagMs is the largest 99th percentile of the lag, in ms, at which a request generator counts as on time. `lab load`
// has the same limit.
const behindLagMs = 10.0

// recordQuiet sets the CPU shares and the request rate of the section without faults. since is the CPU use at the section's
// start.
func (r *Result) recordQuiet(run *run, since cpuUsage) {
	shares := run.cpuSharesSince(since)
	r.CoreShare, r.MaxCoreShare = shares.meanReal, shares.maxReal
	r.LabCores, r.ServerCores, r.SimulatedCores = shares.lab, shares.servers, shares.simulatedNodes
	sent := float64(run.clients.section.Load().sent.Load())
	r.QuietRequestRate = sent / time.Since(since.at).Seconds() / float64(len(run.nodes))
}

// recordIdle sets the CPU shares of the section without client requests, and the CPU time per request, for which recordQuiet must
// have been called. since is the CPU use at the section's start.
func (r *Result) recordIdle(run *run, since cpuUsage) {
	shares := run.cpuSharesSince(since)
	r.ControlShare, r.MaxControlShare = shares.meanReal, shares.maxReal
	if r.QuietRequestRate > 0 {
		r.CPUMsPerRequest = max(0, r.CoreShare-r.ControlShare) / r.QuietRequestRate * 1e3
	}
}

// collect gets the workers' final reports and sets the sizes, counts, latencies, delays and traffic of the run.
func (r *Result) collect(run *run) error {
	var nodes nodesReply
	if err := run.commandNodes(nodesCommand{Verb: nodesFinalReport}, &nodes); err != nil {
		return err
	}
	var servers serversReply
	if err := run.commandServers(serversCommand{Verb: serversReport}, &servers); err != nil {
		return err
	}
	report := nodes.Report
	r.collectConfig(&run.cfg)
	r.collectRequests(run.sections)
	r.Duplicates, r.SafeRepeats = servers.Duplicates+report.Duplicates, servers.SafeRepeats
	r.SendsToDrained = servers.LateSends + report.LateSends
	r.ServerConns, r.MaxOpenServerConns = servers.Connections, servers.MaxOpenConns
	r.SimulatedRequests = NodeRequests{report.nodesSectionCounts, report.Unanswered}
	r.LagP99, r.SimulatedLagP99, r.TimerLagP99 = run.clients.sendLagP99(), report.LagP99, report.TimerLagP99
	r.Behind = r.LagP99 > behindLagMs
	r.SimulatedBehind = max(r.SimulatedLagP99, r.TimerLagP99) > behindLagMs || report.Skipped > 0
	r.collectProcesses(run)
	r.collectPeerTraffic(report, run.cfg.Simulated)
	r.collectDiscoveryTraffic(run, report.DurationS)
	r.collectChangeDelays(run, report.Lists)
	r.collectServerLoad(run, servers.ExecutionsBegun, report.AttemptsBegun)
	return nil
}

// collectConfig copies the sizes, the seed, the duration and the faults of the run.
func (r *Result) collectConfig(cfg *Config) {
	r.Nodes, r.Real, r.Simulated = cfg.Nodes, cfg.Real, cfg.Simulated
	r.Servers, r.Tenants, r.Seed = cfg.Servers, cfg.Tenants, cfg.Seed
	r.DurationS, r.Faults = cfg.Duration.Seconds(), cfg.Faults
}

// collectRequests sums the clients' counts. The latencies exclude the first section, which is the warm-up.
func (r *Result) collectRequests(sections []section) {
	viaNode, direct := histogram.New(), histogram.New()
	for i, s := range sections {
		r.Sent += s.sent.Load()
		r.Completed += s.completed.Load()
		r.Rejected += s.rejected.Load()
		r.Failed += s.failed.Load()
		r.OtherStatus += s.otherStatus.Load()
		r.LateResponses += s.lateResponses.Load()
		r.ConnectFailed += s.connectFailed.Load()
		r.Unanswered += s.unanswered.Load()
		r.DirectFailed += s.directFailed.Load()
		figures := s.result()
		figures.SimulatedP99 = s.simulated.P99
		r.Sections = append(r.Sections, figures)
		if i > 0 {
			s.mu.Lock()
			viaNode.Merge(s.viaNode)
			direct.Merge(s.direct)
			s.mu.Unlock()
		}
	}
	r.Direct = direct.TotalCount()
	r.ViaNodeP50, r.ViaNodeP99 = histogram.QuantileMs(viaNode, 50), histogram.QuantileMs(viaNode, 99)
	r.DirectP50, r.DirectP99 = histogram.QuantileMs(direct, 50), histogram.QuantileMs(direct, 99)
	r.AddedP50, r.AddedP99 = r.ViaNodeP50-r.DirectP50, r.ViaNodeP99-r.DirectP99
}

// collectProcesses sets the memory of all child processes, the restarts, and the number of the real nodes' processes that exited
// before SIGTERM.
func (r *Result) collectProcesses(run *run) {
	for _, n := range run.nodes {
		memory := n.recordMemory()
		r.RSSMiB = max(r.RSSMiB, float64(memory.rss)/kibPerMiB)
		r.PeakRSSMiB = max(r.PeakRSSMiB, float64(memory.peakRSS)/kibPerMiB)
		r.Exited += n.exitCounts().exited
	}
	r.Restarts, r.SimulatedRestarts = run.realRestarts, run.simulatedRestarts
	r.SimulatedMiB, r.ServersMiB = peakRSSMiB(run.nodesWorker.pid()), peakRSSMiB(run.serversWorker.pid())
}

// collectPeerTraffic sets the messages and bytes per second and simulated node, by kind of message.
func (r *Result) collectPeerTraffic(report *nodesReport, nodes int) {
	r.Peers, r.BroadcastsLost = map[string]PeerRates{}, report.BroadcastsLost
	perNode := 1 / (report.DurationS * float64(max(1, nodes)))
	for _, p := range report.Peers {
		if p.In+p.Out > 0 {
			r.Peers[kindName(p.Kind)] = PeerRates{
				In: float64(p.In) * perNode, InBytes: float64(p.InBytes) * perNode,
				Out: float64(p.Out) * perNode, OutBytes: float64(p.OutBytes) * perNode,
			}
		}
	}
}

// collectDiscoveryTraffic sets the bytes per second and the number of full lists that the agent sent to each real node, as
// means over the real nodes.
func (r *Result) collectDiscoveryTraffic(run *run, seconds float64) {
	nodes := float64(len(run.nodes))
	perNode := 1 / (seconds * nodes)
	for watch := range run.nodes {
		traffic := run.agent.Traffic(watch)
		r.DiscoveryFullBytes += float64(traffic.FullBytes) * perNode
		r.DiscoveryChangeBytes += float64(traffic.ChangeBytes) * perNode
		r.DiscoveryFullLists += float64(traffic.FullLists) / nodes
	}
}

// collectChangeDelays sets the medians and maxima of the changes' delays. A change has three delays: until 99% of the nodes,
// all nodes, and all real nodes had applied the change. A change that not all nodes applied has only the third delay, over the
// real nodes that did.
func (r *Result) collectChangeDelays(run *run, lists []listApplyTimes) {
	var to99, toAll, toReal []float64
	for _, change := range run.changes {
		r.Changes++
		realNodes := run.realDelays(change)
		if len(realNodes.seconds) > 0 {
			toReal = append(toReal, slices.Max(realNodes.seconds))
		}
		simulated := simulatedDelays(change, lists)
		if !realNodes.complete || !simulated.complete && run.cfg.Simulated > 0 {
			r.ChangesNotApplied++
			continue
		}
		delays := slices.Concat(realNodes.seconds, simulated.seconds)
		if len(delays) == 0 {
			continue
		}
		slices.Sort(delays)
		to99 = append(to99, delays[int(math.Ceil(0.99*float64(len(delays))))-1])
		toAll = append(toAll, delays[len(delays)-1])
	}
	r.Applied99, r.MaxApplied99 = medianAndMax(to99)
	r.AppliedAll, r.MaxAppliedAll = medianAndMax(toAll)
	r.AppliedReal, r.MaxAppliedReal = medianAndMax(toReal)
}

// applyDelays holds the delays from a change's publication until nodes had applied the change.
type applyDelays struct {
	seconds  []float64 // delays of the nodes that applied the change
	complete bool      // whether every node that had to apply the change did so
}

// realDelays returns the delays of the real nodes that had to apply a change.
func (r *run) realDelays(change measuredChange) applyDelays {
	delays := applyDelays{complete: true}
	for i, mustApply := range change.mustApply {
		if !mustApply {
			continue
		}
		at := r.agent.AppliedAt(i, change.revision, change.publishedAt)
		if at.IsZero() {
			delays.complete = false
			continue
		}
		delays.seconds = append(delays.seconds, at.Sub(change.publishedAt).Seconds())
	}
	return delays
}

// simulatedDelays returns the delays of the simulated nodes, except for those that were down. The delays are incomplete if
// no list with the change arrived.
func simulatedDelays(change measuredChange, lists []listApplyTimes) applyDelays {
	i := slices.IndexFunc(lists, func(l listApplyTimes) bool { return l.Revision >= change.revision })
	if i < 0 {
		return applyDelays{}
	}
	delays := applyDelays{complete: true}
	for _, at := range lists[i].At {
		if at > 0 {
			delays.seconds = append(delays.seconds, max(0, float64(at-change.publishedAt.UnixMicro())/1e6))
		}
	}
	return delays
}

// collectServerLoad sets how evenly the attempts are distributed over the servers that no change affected.
func (r *Result) collectServerLoad(run *run, fromReal, fromSimulated []int64) {
	var loads []float64
	sum := 0.0
	for i := range run.cfg.Servers {
		if !run.changedServers[i] {
			load := float64(fromReal[i] + fromSimulated[i])
			loads = append(loads, load)
			sum += load
		}
	}
	if sum == 0 {
		return
	}
	slices.Sort(loads)
	r.LoadMean = sum / float64(len(loads))
	r.LoadMaxOverMean = loads[len(loads)-1] / r.LoadMean
	r.LoadP99OverMean = loads[min(len(loads)*99/100, len(loads)-1)] / r.LoadMean
}

// medianAndMax sorts v and returns its median and its maximum. It returns 0 for both if v is empty.
func medianAndMax(v []float64) (median, maximum float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}
