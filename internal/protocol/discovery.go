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

// MaxListBytes is the maximum size of discovery's response, in bytes.
const MaxListBytes = 8 << 20

// EndpointState is the state of an app server according to discovery.
type EndpointState uint8

const (
	// InService is an app server that accepts requests.
	InService EndpointState = iota
	// Terminating is an app server that drains: it finishes its requests and accepts no new ones.
	Terminating
	// Terminated is an app server that has ended.
	Terminated
)

// endpointStateNames are the names of the states on the wire.
var endpointStateNames = [...]string{InService: "in_service", Terminating: "terminating", Terminated: "terminated"}

// String returns the state's name on the wire. It panics if the state is not one of the constants.
func (s EndpointState) String() string { return endpointStateNames[s] }

// Endpoint is an app server in discovery's list. The JSON names are the platform's.
type Endpoint struct {
	UID    string         `json:"uid"`      // server id, the same at all nodes; never empty
	Addr   netip.AddrPort `json:"endpoint"` // server address; may differ between nodes; may be invalid if State is Terminated
	Zone   string         `json:"az"`
	Model  string         `json:"model"`
	Cell   int            `json:"pod_group"` // cell number, 0 to 65535
	State  EndpointState  `json:"state"`
	Weight float64        `json:"capacity_hint"` // relative capacity, 0 to below 1e9; 0 if discovery does not know it
	BootMs int64          `json:"boot_ms"`       // Unix time of the server's last start, in milliseconds; 0 if that was long ago
}

// maxWeight is an exclusive upper bound of Endpoint.Weight.
const maxWeight = 1e9

// EndpointList is a message of discovery: the full list or the changes since a revision.
type EndpointList struct {
	Revision  uint64     `json:"rev"`     // revision after the message is applied
	Full      bool       `json:"all"`     // true if Endpoints has all app servers, false if it has those that changed
	Endpoints []Endpoint `json:"targets"` // app servers in any order

	// ServedAt is the time at which discovery sent the message, by discovery's clock and in whole seconds. It is the Date
	// header of the response, or the zero time if that is missing or invalid.
	ServedAt time.Time `json:"-"`
}

// MarshalJSON returns the state's name on the wire as a JSON string.
func (s EndpointState) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// UnmarshalJSON parses the name of a state.
func (s *EndpointState) UnmarshalJSON(raw []byte) error {
	for state, name := range endpointStateNames {
		if string(raw) == `"`+name+`"` {
			*s = EndpointState(state)
			return nil
		}
	}
	return fmt.Errorf("unknown endpoint state %s", raw)
}

// ErrMalformedList is wrapped by the error for an endpoint list that is invalid, and for a response with a status other than
// 200. The latter error contains the status.
var ErrMalformedList = errors.New("malformed list")

// ErrCallRejected is wrapped by the error for a call that discovery rejects with a status of 400 to 499 except 429. Discovery
// does so if the call names a revision that discovery never had. ErrCallRejected wraps ErrMalformedList.
var ErrCallRejected = fmt.Errorf("%w: call rejected", ErrMalformedList)

// ParseEndpointList parses the JSON text of a list. If any part is invalid it returns ErrMalformedList and an empty list.
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

// valid reports whether the fields of an endpoint are within their ranges.
func (e *Endpoint) valid() bool {
	hasAddr := e.State == Terminated || e.Addr.IsValid()
	return e.UID != "" && hasAddr && e.Cell >= 0 && e.Cell <= math.MaxUint16 &&
		e.Weight >= 0 && e.Weight < maxWeight && e.BootMs >= 0
}

// DiscoveryCall is a call to discovery. It asks for the full list, which discovery sends at once, or for the changes since a
// revision.
type DiscoveryCall struct {
	Full     bool          // true if the call asks for the full list
	Revision uint64        // revision after which the call asks for changes; ignored if Full
	Hold     time.Duration // maximum time for which discovery holds the call until there is a change; ignored if Full
}

// AppendDiscoveryCall appends a call to discovery to b. host is discovery's address. QueryHoldMs is Hold in
// milliseconds, rounded down.
func AppendDiscoveryCall(b []byte, host string, call DiscoveryCall) []byte {
	b = append(b, "GET "+EndpointsPath...)
	if !call.Full {
		b = append(b, "?"+QueryRevision+"="...)
		b = strconv.AppendUint(b, call.Revision, 10)
		b = append(b, "&"+QueryHoldMs+"="...)
		b = strconv.AppendInt(b, call.Hold.Milliseconds(), 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\n\r\n"...)
}

// ReadEndpointList reads a final response of discovery, and skips interim ones before it. closed reports whether the connection
// is unusable after the response. An error wraps ErrMalformedList or ErrCallRejected, tells what is malformed in the response, or
// is an error of br's reader.
func ReadEndpointList(br *bufio.Reader) (list EndpointList, closed bool, err error) {
	head, err := readFinalHead(br, http.MethodGet, nil)
	if err != nil {
		return list, true, err
	}
	raw, err := io.ReadAll(bodyReader(br, head.length, nil))
	if err != nil {
		return list, true, err
	}
	if head.status != http.StatusOK {
		return list, head.closes, fmt.Errorf("%w: status %d", listError(head.status), head.status)
	}
	list, err = ParseEndpointList(raw)
	if at, dateErr := http.ParseTime(head.fields.get(headerDate)); dateErr == nil {
		list.ServedAt = at
	}
	return list, head.closes, err
}

// listError returns the error for a status other than 200. Status 429 (Too Many Requests) does not reject the call itself,
// so that the client may repeat the same call.
func listError(status int) error {
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
		return ErrCallRejected
	}
	return ErrMalformedList
}
