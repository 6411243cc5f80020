// Package protocol parses and formats the messages of a node: clients' requests and the responses to them, attempts at app
// servers and their responses, and discovery's endpoint list. It also maps the addresses of peer messages to nodes. It opens
// no sockets and makes no decisions.
//
// names.go and the JSON tags of Endpoint and EndpointList define the platform's names on the wire. The identifiers of this
// package are the standard terms for them.
//
// The error for a client's request is a *RequestError. The error for an app server's response is ErrMalformedResponse. The
// error for discovery's endpoint list wraps ErrMalformedList, and for a rejected call also ErrCallRejected.
package protocol
