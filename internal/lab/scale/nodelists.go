package scale

import (
	"sync"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// endpointHistory holds the endpoint lists received so far, which restarted nodes need, and when each node applied them.
type endpointHistory struct {
	listMu    sync.Mutex               // guards the fields below; held while a list is applied
	endpoints []protocol.Endpoint      // latest state of each server, by server number
	listed    []bool                   // whether the latest state lists a server, by server number
	history   []*protocol.EndpointList // lists in the order of arrival
	applied   []listApplyTimes         // one element for each list of history
}

// record appends a list to the history and applies it to the latest state. The function serverNumber returns an endpoint's
// server number, or false for an unknown endpoint. The caller holds listMu.
func (h *endpointHistory) record(list *protocol.EndpointList, serverNumber func(protocol.Endpoint) (int, bool)) {
	if list.Full {
		clear(h.listed)
	}
	for _, endpoint := range list.Endpoints {
		if i, ok := serverNumber(endpoint); ok {
			h.endpoints[i], h.listed[i] = endpoint, true
		}
	}
	h.history = append(h.history, list)
}

// currentList returns the latest state as a full list. The caller holds listMu.
func (h *endpointHistory) currentList() *protocol.EndpointList {
	list := &protocol.EndpointList{Full: true}
	for i, endpoint := range h.endpoints {
		if h.listed[i] && endpoint.State != protocol.Terminated {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// applyList passes a list to all nodes that are not down and records when each node had applied it.
func (f *nodeFleet) applyList(list *protocol.EndpointList) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	f.record(list, func(e protocol.Endpoint) (int, bool) {
		i, ok := f.serverNumbers[e.Addr]
		return i, ok
	})
	applied := listApplyTimes{Revision: list.Revision, At: make([]int64, len(f.nodes))}
	forEachNode(f.nodes, func(n *simulatedNode) {
		if !n.down.Load() {
			n.current.Load().applyList(list, f.serverNumbers, routing.FromDiscovery)
			applied.At[n.number-f.cfg.Real] = time.Now().UnixMicro()
		}
	})
	f.applied = append(f.applied, applied)
}

// restart replaces the incarnations of nodes, which are down for the downtime. The new incarnations start with the latest
// list, like a node that has cached it.
func (f *nodeFleet) restart(numbers []int, downtime time.Duration) {
	var nodes []*simulatedNode
	for _, i := range numbers {
		if i >= 0 && i < len(f.nodes) {
			nodes = append(nodes, f.nodes[i])
			f.nodes[i].down.Store(true)
		}
	}
	time.Sleep(downtime)
	f.listMu.Lock()
	cached, cachedLists := f.currentList(), len(f.history)
	f.listMu.Unlock()
	started := make([]*incarnation, len(f.nodes))
	forEachNode(nodes, func(n *simulatedNode) {
		inc := n.newIncarnation(f.cfg.Seed + uint64(cachedLists))
		inc.applyList(cached, f.serverNumbers, routing.FromCache)
		started[n.number-f.cfg.Real] = inc
	})
	// The new incarnations then get the lists that have arrived meanwhile, as a node's own watch would deliver them.
	f.listMu.Lock()
	defer f.listMu.Unlock()
	forEachNode(nodes, func(n *simulatedNode) {
		inc := started[n.number-f.cfg.Real]
		for _, list := range f.history[cachedLists:] {
			inc.applyList(list, f.serverNumbers, routing.FromDiscovery)
		}
		n.current.Swap(inc).ended.Store(true)
		n.down.Store(false)
		inc.router.TimerFired()
	})
}
