package protocol

import (
	"errors"
	"net/http"
)

// RequestError is a request that gets a status of its own and a close.
type RequestError struct {
	Status int    // of HTTP
	Reason string // what is wrong; the client is sent the status alone
	Err    error  // what it comes from; nil where the request itself is at fault
}

// Error is the reason.
func (e *RequestError) Error() string { return e.Reason }

// Unwrap is what the error comes from, or nil.
func (e *RequestError) Unwrap() error { return e.Err }

// ErrHeadTooLarge is what a Source's reader returns once a head is longer than MaxHead.
var ErrHeadTooLarge = &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "head too large"}

func badRequest(reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Reason: reason}
}

func tooLarge(cause error) error {
	return &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: errBodyTooLarge.Error(), Err: cause}
}

// malformed is the client's error, unless the reader gave one of its own.
func malformed(err error) error {
	var own *RequestError
	if errors.As(err, &own) {
		return err
	}
	return &RequestError{Status: http.StatusBadRequest, Reason: "malformed request", Err: err}
}

// What Validate finds. A gRPC client is sent the text.
var (
	errMalformedID       = errors.New("malformed id")
	errMalformedCustomer = errors.New("malformed customer")
	errMalformedWeight   = errors.New("malformed units or set")
	errOddHeader         = errors.New("odd type or key")
)
