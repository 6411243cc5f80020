package routing

import (
	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
)

// UpdateEndpoints takes in a message of discovery: the whole list or a change of it, as list.Full says, or, where cached
// is true, the whole list as it was last seen.
func (r *Router) UpdateEndpoints(list *protocol.EndpointList, cached bool) {
	kind := decision.ListUpdate
	switch {
	case cached:
		kind = decision.CachedList
	case list.Full:
		kind = decision.FullList
	}
	r.enter()
	if !cached && !list.ServedAt.IsZero() {
		r.engine.ObserveServerClock(unixTicks(list.ServedAt))
	}
	r.engine.UpdateEndpoints(kind, r.endpoints.update(list))
	r.leave()
}

// PollFailed notes that a call to discovery failed.
func (r *Router) PollFailed() {
	r.enter()
	r.engine.UpdateEndpoints(decision.PollFailed, nil)
	r.leave()
}

// HealthChecked takes in the result of a health check of a server, made by this node or by another one.
func (r *Router) HealthChecked(server ServerNumber, healthy bool) {
	outcome := decision.Failed
	if healthy {
		outcome = decision.Succeeded
	}
	r.enter()
	r.engine.HealthChecked(decision.ServerID(server), outcome, nil)
	r.leave()
}

// HasServers returns whether any app server is listed, in whatever state.
func (r *Router) HasServers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.endpoints.servers) > 0
}

// InService returns whether a server is still in service at its address. It is to be asked before the first byte of an
// attempt.
func (r *Router) InService(s *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.servers[s.number] == s && s.state == protocol.InService
}

// Servers returns the app servers in service, in no order.
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
