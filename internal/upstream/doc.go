// Package upstream implements the node's side towards app servers. It holds the connection pool, runs the attempts that the
// router decides on, and performs health checks. It makes no routing decisions itself.
package upstream
