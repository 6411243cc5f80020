package protocol

import (
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxIDBytes is the maximum size of a request id, in bytes.
	maxIDBytes = 128
	// maxUnits is an exclusive upper bound of Request.Units.
	maxUnits = 1e9
	// customerBits is the maximum size of a customer's number, in bits.
	customerBits = 33
)

// Request is a client's request.
type Request struct {
	Method         string
	URI            string // path and query as the client sent them
	Host           string
	ContentType    string        // Content-Type header, forwarded unchanged; empty if the request has none
	IdempotencyKey string        // Idempotency-Key header, forwarded unchanged; empty if the request has none
	ID             string        // request id, the same for all attempts of the request
	Class          string        // name of the request class; may be unknown
	Plan           string        // name of the customer's plan; may be unknown or empty
	Customer       uint64        // customer number, below 2^33
	Timeout        time.Duration // time that the client waits for the response, at most 1 hour
	Units          float64       // expected cost in units, 0 to below 1e9
	Spread         int           // number of nodes in the customer's node set, at least 1
	FirstNode      int           // first node of the customer's node set, at least 0
	Body           []byte        // body of at most MaxBody bytes
	Close          bool          // true if the client closes the connection after the response
}

// Validate checks a request of another protocol than HTTP/1.1 as strictly as ReadRequest does, except for its class, plan
// and timeout. gRPC clients receive the text of the error.
func (r *Request) Validate() error {
	switch {
	case !validID(r.ID) || !httpguts.ValidHeaderFieldValue(r.ID):
		return errMalformedID
	case r.Customer>>customerBits > 0:
		return errMalformedCustomer
	case !r.validWeight():
		return errMalformedWeight
	case len(r.Body) > MaxBody:
		return errBodyTooLarge
	case !httpguts.ValidHeaderFieldValue(r.ContentType) || !httpguts.ValidHeaderFieldValue(r.IdempotencyKey) || len(r.ContentType)+len(r.IdempotencyKey) > MaxHead/2:
		return errInvalidHeader
	}
	return nil
}

// IsNodeHealthCheck reports whether the request is a health check of the node itself.
func (r *Request) IsNodeHealthCheck() bool { return r.URI == HealthPath }

// validWeight reports whether the units and the node set are within their ranges. NaN units are invalid.
func (r *Request) validWeight() bool {
	return r.Units >= 0 && r.Units < maxUnits && r.Spread > 0 && r.FirstNode >= 0
}

// validID reports whether a request id has 1 to maxIDBytes bytes and no spaces or tabs.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, " \t")
}
