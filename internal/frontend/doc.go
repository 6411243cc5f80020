// Package frontend serves clients over HTTP/1.1: it accepts their connections, reads requests, hands each to the router
// and the attempts of the package upstream, and writes the response.
//
// Two goroutines serve one connection (clientConn): one reads throughout and notices a client that disconnects, the other
// takes one request at a time through a RequestHandler. Front ends of other protocols use the same RequestHandler.
package frontend
