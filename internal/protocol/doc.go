// Package protocol reads and writes what passes on the wire: clients' requests and the responses to them, attempts at
// app servers and theirs, discovery's endpoint list, and the addresses of peer messages. It holds no sockets and decides
// nothing.
//
// The header names, paths and JSON names are the platform's. Errors name what is wrong with the input: *RequestError for a
// client's request, ErrMalformedResponse for an app server's response, ErrMalformedList and ErrCallRejected for discovery.
package protocol
