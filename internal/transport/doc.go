// Package transport is the node's sockets: the listener for clients and their connections, the pool of connections
// to app servers, the client of discovery, the socket of peer messages and the timer. It carries out what the routing
// package decides and decides nothing itself.
//
// A client's connection is served by two goroutines (clientConn). Its requests go one at a time through a
// RequestHandler, which asks the authorizer, runs the attempts that the Router decides on, and returns the client's
// response. Reads and writes go through ring buffers (ringBuffer) and system calls that bypass the scheduler
// (socket).
package transport
