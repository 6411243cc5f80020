// Package protocol parses and formats the messages of a node: clients' requests and the responses to them, attempts at app
// servers and their responses, and discovery's endpoint list. It also maps the addresses of peer messages to nodes. It holds
// no sockets and makes no decisions.
//
// The platform's names on the wire stand in names.go and in the JSON tags of Endpoint and EndpointList. The identifiers of
// this package are the standard terms for them.
//
// Errors: *RequestError for a client's request, ErrMalformedResponse for an app server's response, ErrMalformedList and
// ErrCallRejected for discovery.
package protocol
