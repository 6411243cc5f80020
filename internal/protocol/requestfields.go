package protocol

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxTimeout is the maximum of Request.Timeout. Longer timeouts are reduced to it.
	maxTimeout = time.Hour
	// customerDigits is the number of hexadecimal digits of a customer's number in a path.
	customerDigits = 16
)

// unparsedHeaders are the values of the headers that the caller of readHeaders must parse.
type unparsedHeaders struct {
	timeout string // value of HeaderTimeout
	weight  string // value of HeaderWeight
}

// readHeaders sets the fields that are unchanged header values, and returns the values that the caller must parse.
func (r *Request) readHeaders(fields headerFields) (unparsedHeaders, error) {
	h := singleHeaders{fields: fields}
	r.ContentType, r.IdempotencyKey = h.get(headerContentType), h.get(headerIdempotencyKey)
	r.ID, r.Plan = h.get(HeaderRequestID), h.get(HeaderPlan)
	unparsed := unparsedHeaders{timeout: h.get(HeaderTimeout), weight: h.get(HeaderWeight)}
	h.get(headerHost) // checks that the header is not repeated; r.Host may come from an absolute target
	if h.err == nil && !httpguts.ValidHeaderFieldValue(r.Host) {
		h.err = invalidHeaderError(headerHost)
	}
	return unparsed, h.err
}

// singleHeaders reads headers that may occur at most once.
type singleHeaders struct {
	fields headerFields
	err    error // error for the last invalid header; nil if there is none
}

// get returns the value of a header, or "" if it is missing. name is in canonical form. If the header is repeated or not
// printable, get sets the error.
func (h *singleHeaders) get(name string) string {
	values := h.fields.values(name)
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 || !httpguts.ValidHeaderFieldValue(values[0]) {
		h.err = invalidHeaderError(name)
	}
	return values[0]
}

// invalidHeaderError returns a RequestError for a header that is repeated or not printable.
func invalidHeaderError(name string) error { return badRequestError("repeated or unprintable " + name) }

// readPath reads the class from the first segment of the path and the customer from the last one.
func (r *Request) readPath(u *url.URL) error {
	path := strings.Trim(u.Path, "/")
	first, last := strings.IndexByte(path, '/'), strings.LastIndexByte(path, '/')
	if first < 0 {
		return &RequestError{Status: http.StatusNotFound, Reason: "path without request class and customer"}
	}
	r.Class = path[:first]
	customer := path[last+1:]
	var err error
	if r.Customer, err = strconv.ParseUint(customer, 16, customerBits); err != nil || len(customer) != customerDigits {
		return &RequestError{Status: http.StatusBadRequest, Reason: "malformed customer", Err: err}
	}
	return nil
}

// readTimeout parses HeaderTimeout and reports whether it is valid, that is a decimal integer from 1 to 2^32-1.
func (r *Request) readTimeout(text string) bool {
	ms, err := strconv.ParseUint(text, 10, 32)
	r.Timeout = min(time.Duration(ms)*time.Millisecond, maxTimeout)
	return err == nil && ms > 0
}

// readWeight parses HeaderWeight and reports whether it is valid. It accepts any order of the fields and ignores unknown
// fields.
func (r *Request) readWeight(text string) bool {
	var err error
	hasUnits, hasSpread, hasFirst := false, false, false
	for text != "" && err == nil {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case WeightUnits:
			hasUnits = true
			r.Units, err = strconv.ParseFloat(value, 64)
		case WeightSpread:
			hasSpread = true
			r.Spread, err = strconv.Atoi(value)
		case WeightFirstNode:
			hasFirst = true
			r.FirstNode, err = strconv.Atoi(value)
		}
	}
	return err == nil && hasUnits && hasSpread && hasFirst && r.validWeight()
}
