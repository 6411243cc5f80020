package protocol

import (
	"errors"
	"net/http"
)

// RequestError is the error for an invalid request. The node responds with Status and closes the connection.
type RequestError struct {
	Status int    // HTTP status code
	Reason string // text of the error; the client receives only the status
	Err    error  // cause; nil if there is none
}

// Error returns Reason.
func (e *RequestError) Error() string { return e.Reason }

// Unwrap returns Err.
func (e *RequestError) Unwrap() error { return e.Err }

// MayRepeat reports whether a client may have sent the request in good faith and may repeat it: the node lacks memory for it, or the
// request's id is known because an earlier attempt of the client was read.
func (e *RequestError) MayRepeat() bool {
	return e.Status == http.StatusServiceUnavailable || e.Status == http.StatusConflict
}

// ErrHeadTooLarge is the error for a head over MaxHead. A Source's reader returns it at the limit that Allow sets.
var ErrHeadTooLarge = &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "head too large"}

// errVersion is the error for a message of another major HTTP version, whose framing is unknown.
var errVersion = &RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP version is not 1.x"}

// errConnectMethod is the error for a request with method CONNECT. Its response would turn the connection into a tunnel (RFC 9112,
// section 6.3), and the node offers none.
var errConnectMethod = &RequestError{Status: http.StatusNotImplemented, Reason: "method CONNECT"}

// badRequestError returns a RequestError with status 400.
func badRequestError(reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// bodyTooLargeError returns a RequestError for a body over MaxBody.
func bodyTooLargeError(cause error) error {
	return &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: errBodyTooLarge.Error(), Err: cause}
}

// malformedRequestError returns a RequestError for an error of the parser. If err already is a RequestError, it returns err.
func malformedRequestError(err error) error {
	var requestErr *RequestError
	if errors.As(err, &requestErr) {
		return err
	}
	return &RequestError{Status: http.StatusBadRequest, Reason: "malformed request", Err: err}
}

// Errors of Validate. gRPC clients receive their texts.
var (
	errMalformedID       = errors.New("malformed id")
	errMalformedCustomer = errors.New("malformed customer")
	errMalformedWeight   = errors.New("malformed units or set")
	errInvalidHeader     = errors.New("odd type or key")
)
