// Package frontend serves clients over HTTP/1.1. It accepts their connections, reads requests and writes the responses.
// The package routing decides on each request, and the package upstream executes its attempts.
//
// Two goroutines serve one connection (clientConn). One reads throughout and so detects a client that disconnects. The
// other processes one request at a time with a RequestHandler. Front ends of other protocols use the same RequestHandler.
package frontend
