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

// MaxListBytes bounds the list of app servers, in bytes.
const MaxListBytes = 8 << 20

// EndpointState is what discovery says of an app server.
type EndpointState uint8

// The states of an app server.
const (
	InService EndpointState = iota
	Terminating
	Terminated
)

// Endpoint is one app server of discovery's list.
type Endpoint struct {
	UID    string         `json:"uid"`
	Addr   netip.AddrPort `json:"endpoint"`
	Zone   string         `json:"az"`
	Model  string         `json:"model"`
	Cell   int            `json:"pod_group"`
	State  EndpointState  `json:"state"`
	Weight float64        `json:"capacity_hint"`
	BootMs int64          `json:"boot_ms"`
}

// EndpointList is a message of discovery.
type EndpointList struct {
	Revision  uint64     `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// UnmarshalJSON reads a state's name.
func (s *EndpointState) UnmarshalJSON(b []byte) error {
	switch string(b) {
	case `"in_service"`:
		*s = InService
	case `"terminating"`:
		*s = Terminating
	case `"terminated"`:
		*s = Terminated
	default:
		return fmt.Errorf("unknown state %s", b)
	}
	return nil
}

// ErrMalformedList is a list that can't be read, or a status other than 200 in its place, which the error names.
var ErrMalformedList = errors.New("malformed list")

// ErrCallRejected is a call that discovery finds at fault itself (4xx, but for 429), as one for what is newer than a version
// that it never had. It is an ErrList too.
var ErrCallRejected = fmt.Errorf("%w: call refused", ErrMalformedList)

// ParseEndpointList reads a whole message or nothing of it.
func ParseEndpointList(raw []byte) (EndpointList, error) {
	var l EndpointList
	if json.Unmarshal(raw, &l) != nil {
		return EndpointList{}, ErrMalformedList
	}
	for _, t := range l.Endpoints {
		if t.UID == "" || t.State != Terminated && !t.Addr.IsValid() || t.Cell < 0 || t.Cell > math.MaxUint16 ||
			!(t.Weight >= 0 && t.Weight < 1e9) || t.BootMs < 0 {
			return EndpointList{}, ErrMalformedList
		}
	}
	return l, nil
}

// AppendDiscoveryCall appends a call for what is newer than a version, or for the whole list.
func AppendDiscoveryCall(b []byte, host string, whole bool, rev uint64, hold time.Duration) []byte {
	b = append(b, "GET /v1/servers"...)
	if !whole {
		b = strconv.AppendUint(append(b, "?from="...), rev, 10)
		b = strconv.AppendInt(append(b, "&hold_ms="...), hold.Milliseconds(), 10)
	}
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// ReadEndpointList reads discovery's answer, and whether the connection ends with it.
func ReadEndpointList(br *bufio.Reader) (l EndpointList, closed bool, err error) {
	a, err := http.ReadResponse(br, nil)
	if err != nil {
		return l, true, err
	}
	raw, err := io.ReadAll(a.Body)
	if err != nil {
		return l, true, err
	}
	if a.StatusCode != http.StatusOK {
		err = ErrMalformedList
		if a.StatusCode >= 400 && a.StatusCode < 500 && a.StatusCode != http.StatusTooManyRequests {
			err = ErrCallRejected
		}
		return l, a.Close, fmt.Errorf("%w: status %d", err, a.StatusCode)
	}
	l, err = ParseEndpointList(raw)
	return l, a.Close, err
}
