// Package netio holds the socket primitives that the packages frontend, upstream and discovery share. These are ring
// buffers, sockets with system calls that bypass the Go scheduler, deadlines, resource exhaustion, the node's limits on
// descriptors and memory, the log line of a closed connection, and the node's timer.
package netio
