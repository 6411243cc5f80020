// Package netio provides the socket primitives of the packages frontend, upstream and discovery: ring buffers, sockets whose
// system calls bypass the Go scheduler, deadlines and the node's timer. It also provides the node's limits on file descriptors
// and memory, the classification of resource exhaustion, and the log line of a closed connection.
package netio
