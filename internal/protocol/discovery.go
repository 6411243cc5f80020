package protocol

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// MaxListBytes bounds discovery's answer, in bytes.
const MaxListBytes = 8 << 20

// EndpointState is what discovery says of an app server.
type EndpointState uint8

// The states of an app server.
const (
	InService   EndpointState = iota
	Terminating               // draining: it finishes what it has
	Terminated
)

// String is the state's name on the wire.
func (s EndpointState) String() string {
	return [...]string{InService: "in_service", Terminating: "terminating", Terminated: "terminated"}[s]
}

// Endpoint is one app server of discovery's list. Its JSON names are the platform's.
type Endpoint struct {
	UID    string         `json:"uid"`
	Addr   netip.AddrPort `json:"endpoint"` // may be invalid for one that is terminated
	Zone   string         `json:"az"`
	Model  string         `json:"model"`
	Cell   int            `json:"pod_group"` // at most 65535
	State  EndpointState  `json:"state"`
	Weight float64        `json:"capacity_hint"` // 0 to below maxWeight; 0: not given
	BootMs int64          `json:"boot_ms"`       // since it started, milliseconds
}

// maxWeight is what an app server's weight is below.
const maxWeight = 1e9

// EndpointList is a message of discovery: every app server, or those that changed since an earlier revision.
type EndpointList struct {
	Revision  uint64     `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`

	// ServedAt is the time of discovery's clock when it wrote the message, in whole seconds, as its Date header says; zero
	// where there is none.
	ServedAt time.Time `json:"-"`
}

// UnmarshalJSON reads a state's name.
func (s *EndpointState) UnmarshalJSON(raw []byte) error {
	switch string(raw) {
	case `"in_service"`:
		*s = InService
	case `"terminating"`:
		*s = Terminating
	case `"terminated"`:
		*s = Terminated
	default:
		return fmt.Errorf("unknown state %s", raw)
	}
	return nil
}

// ErrMalformedList is a list that can't be read, or a status other than 200 in its place, which the error names.
var ErrMalformedList = errors.New("malformed list")

// ErrCallRejected is a call that discovery finds at fault itself (4xx, but for 429), as one for what is newer than a
// revision that it never had. It is an ErrMalformedList too.
var ErrCallRejected = fmt.Errorf("%w: call refused", ErrMalformedList)

// ParseEndpointList reads a whole message, or returns ErrMalformedList and nothing of it.
func ParseEndpointList(raw []byte) (EndpointList, error) {
	var list EndpointList
	if json.Unmarshal(raw, &list) != nil {
		return EndpointList{}, ErrMalformedList
	}
	for i := range list.Endpoints {
		if !list.Endpoints[i].valid() {
			return EndpointList{}, ErrMalformedList
		}
	}
	return list, nil
}

// valid reports whether an endpoint has an id, an address unless it is terminated, and figures within their ranges.
func (e *Endpoint) valid() bool {
	return e.UID != "" && (e.State == Terminated || e.Addr.IsValid()) && e.Cell >= 0 && e.Cell <= math.MaxUint16 &&
		e.Weight >= 0 && e.Weight < maxWeight && e.BootMs >= 0
}

// AppendDiscoveryCall appends a call for what is newer than a revision, which discovery may hold back for so long until
// there is any, or for the full list.
func AppendDiscoveryCall(b []byte, host string, full bool, revision uint64, hold time.Duration) []byte {
	b = append(b, "GET "+EndpointsPath...)
	if !full {
		b = append(b, "?from="...)
		b = strconv.AppendUint(b, revision, 10)
		b = append(b, "&hold_ms="...)
		b = strconv.AppendInt(b, hold.Milliseconds(), 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\n\r\n"...)
}

// ReadEndpointList reads discovery's answer, and whether the connection ends with it. An error is an ErrMalformedList, an
// ErrCallRejected, or the reader's where the connection broke.
func ReadEndpointList(br *bufio.Reader) (list EndpointList, closed bool, err error) {
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return list, true, err
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return list, true, err
	}
	if response.StatusCode != http.StatusOK {
		return list, response.Close, fmt.Errorf("%w: status %d", listError(response.StatusCode), response.StatusCode)
	}
	list, err = ParseEndpointList(raw)
	if at, dateErr := http.ParseTime(response.Header.Get("Date")); dateErr == nil {
		list.ServedAt = at
	}
	return list, response.Close, err
}

// listError is what a status other than 200 means. 429 is about discovery's load, not about the call.
func listError(status int) error {
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
		return ErrCallRejected
	}
	return ErrMalformedList
}
