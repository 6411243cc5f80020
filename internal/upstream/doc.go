// Package upstream is the node's side towards app servers: the pool of connections, the attempts that the router decides
// on, and health checks. It takes no decision about requests itself.
package upstream
