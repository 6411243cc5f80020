// Package netio holds the socket primitives that the packages frontend, upstream and discovery share: ring buffers, sockets
// whose system calls bypass the Go scheduler, deadlines and the node's timer. It also has the node's limits on descriptors
// and memory, the classification of resource exhaustion, and the log line of a closed connection.
package netio
