package routing

import (
	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
)

// ListOrigin is the origin of an endpoint list.
type ListOrigin bool

// The origins of an endpoint list.
const (
	FromDiscovery ListOrigin = false // a list or an update that the discovery service sent now
	FromCache     ListOrigin = true  // a complete list kept from earlier, which may be out of date
)

// UpdateEndpoints applies an endpoint list. The list is complete if list.Full is set or if it is from the cache, else it is
// an update of single endpoints.
func (r *Router) UpdateEndpoints(list *protocol.EndpointList, origin ListOrigin) {
	kind := decision.ListUpdate
	switch {
	case origin == FromCache:
		kind = decision.CachedList
	case list.Full:
		kind = decision.FullList
	}
	r.enter()
	if origin == FromDiscovery && !list.ServedAt.IsZero() {
		r.engine.ObserveServerClock(engineUnixTime(list.ServedAt))
	}
	r.engine.UpdateEndpoints(kind, r.endpoints.update(list))
	r.leave()
}

// PollFailed records that a poll of the discovery service failed.
func (r *Router) PollFailed() {
	r.enter()
	r.engine.UpdateEndpoints(decision.PollFailed, nil)
	r.leave()
}

// HealthChecked records the result of a health check of a server, by this node or by a peer.
func (r *Router) HealthChecked(server ServerNumber, healthy bool) {
	outcome := decision.Failed
	if healthy {
		outcome = decision.Succeeded
	}
	r.enter()
	r.engine.HealthChecked(decision.ServerID(server), outcome, nil)
	r.leave()
}

// HasServers reports whether the endpoint list has any server, in service or not.
func (r *Router) HasServers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.endpoints.servers) > 0
}

// InService reports whether the server is in service at its address. Callers check it just before the first byte of an
// attempt.
func (r *Router) InService(s *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.servers[s.number] == s && s.state == protocol.InService
}

// Servers returns the servers in service, in no particular order.
func (r *Router) Servers() []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inService []*Server
	for _, s := range r.endpoints.servers {
		if s.state == protocol.InService {
			inService = append(inService, s)
		}
	}
	return inService
}
