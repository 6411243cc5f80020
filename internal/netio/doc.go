// Package netio holds the socket primitives that the front end, the upstream side and the discovery client share: ring
// buffers, sockets whose system calls bypass the scheduler, socket options, the node's limits on descriptors and memory,
// resource exhaustion, the log line of a closed connection, and the node's timer.
package netio
