package main

import (
	"fmt"

	"cherrygap/internal/decision"
	"cherrygap/internal/numeric"
	"cherrygap/internal/simproto"
)

// unknownListKindError is the error for a kind of endpoint list that the protocol does not define.
type unknownListKindError simproto.ListKind

// Error returns a text with the number of the kind.
func (e unknownListKindError) Error() string {
	return fmt.Sprintf("unknown endpoint list kind %d", uint8(e))
}

// unknownEndpointStateError is the error for a state of an endpoint that the protocol does not define.
type unknownEndpointStateError simproto.EndpointState

// Error returns a text with the number of the state.
func (e unknownEndpointStateError) Error() string {
	return fmt.Sprintf("unknown endpoint state %d", uint8(e))
}

// unknownOutcomeError is the error for an outcome that the protocol does not define.
type unknownOutcomeError simproto.OutcomeCode

// Error returns a text with the number of the outcome.
func (e unknownOutcomeError) Error() string { return fmt.Sprintf("unknown outcome code %d", uint16(e)) }

// engineCall passes an event to an engine.
type engineCall func(*decision.Engine)

// readEvent reads the fields of an event and returns the engine call for it. It returns an error for an undefined code.
// For truncated fields only fields.Err is set, and the caller must not make the call.
func (a *adapter) readEvent(code simproto.EventCode, fields *simproto.Cursor) (engineCall, error) {
	switch code {
	case simproto.EventRequest:
		return readRequest(fields), nil
	case simproto.EventEndpointList:
		return a.readEndpointList(fields)
	case simproto.EventPeerMessage:
		from := decision.NodeID(fields.Uint32())
		text := fields.Bytes(uint32(fields.Uint16()))
		return func(e *decision.Engine) { e.ReceivePeerMessage(from, text) }, nil
	case simproto.EventClientGone:
		request := decision.RequestID(fields.Uint32())
		return func(e *decision.Engine) { e.ClientGone(request) }, nil
	case simproto.EventCountAdded:
		return readCountAdded(fields), nil
	case simproto.EventResponseStarted:
		return readResponseStarted(fields), nil
	case simproto.EventAttemptEnded:
		return a.readAttemptEnded(fields)
	case simproto.EventHealthChecked:
		return a.readHealthChecked(fields)
	case simproto.EventTimerFired:
		fields.Uint32() // token; not needed, because an engine has one timer
		return func(e *decision.Engine) { e.TimerFired() }, nil
	}
	return nil, fmt.Errorf("unknown event code %d", code)
}

// readRequest reads an EventRequest.
func readRequest(fields *simproto.Cursor) engineCall {
	r := decision.Request{
		ID:        decision.RequestID(fields.Uint32()),
		Class:     decision.ClassID(fields.Uint8()),
		Plan:      decision.PlanID(fields.Uint32()),
		Customer:  decision.CustomerID(fields.Uint64()),
		Timeout:   engineTime(fields.Uint32()),
		Units:     fields.Float32(),
		Spread:    numeric.Truncate[int](float64(fields.Float32())),
		FirstNode: numeric.Truncate[decision.NodeID](float64(fields.Float32())),
	}
	fields.Uint8() // attributes; the engine ignores whether the request is a client's retry
	return func(e *decision.Engine) { e.AddRequest(r) }
}

// readEndpointList reads an EventEndpointList.
func (a *adapter) readEndpointList(fields *simproto.Cursor) (engineCall, error) {
	fields.Uint32() // revision; not needed, because the simulator delivers all lists in order
	code := simproto.ListKind(fields.Uint8())
	kind, known := listKinds[code]
	if fields.Err() == nil && !known {
		return nil, unknownListKindError(code)
	}
	a.endpoints = a.endpoints[:0]
	for left := fields.Uint32(); left > 0 && fields.Err() == nil; left-- {
		endpoint, err := readEndpoint(fields)
		if err != nil {
			return nil, err
		}
		a.endpoints = append(a.endpoints, endpoint)
	}
	return func(e *decision.Engine) { e.UpdateEndpoints(kind, a.endpoints) }, nil
}

// readEndpoint reads an endpoint of an EventEndpointList.
func readEndpoint(fields *simproto.Cursor) (decision.Endpoint, error) {
	endpoint := decision.Endpoint{
		Server: decision.ServerID(fields.Uint32()),
		Zone:   fields.Uint8(),
		Model:  fields.Uint16(),
		Cell:   fields.Uint16(),
	}
	code := simproto.EndpointState(fields.Uint8())
	state, known := endpointStates[code]
	endpoint.State = state
	endpoint.Weight = fields.Float32()
	endpoint.Started = decision.Time(fields.Uint64() / microsPerTimeUnit)
	if fields.Err() == nil && !known {
		return endpoint, unknownEndpointStateError(code)
	}
	return endpoint, nil
}

// readCountAdded reads an EventCountAdded. The engine does not use shared counts.
func readCountAdded(fields *simproto.Cursor) engineCall {
	fields.Uint64()  // name of the count
	fields.Uint16()  // outcome
	fields.Float32() // sum
	fields.Uint32()  // time since the action, in microseconds
	return func(*decision.Engine) {}
}

// readResponseStarted reads an EventResponseStarted.
func readResponseStarted(fields *simproto.Cursor) engineCall {
	request := decision.RequestID(fields.Uint32())
	fields.Uint8()  // attempt
	fields.Uint32() // server
	fields.Uint32() // time since the attempt was sent, in microseconds
	return func(e *decision.Engine) { e.ResponseStarted(request) }
}

// readAttemptEnded reads an EventAttemptEnded.
func (a *adapter) readAttemptEnded(fields *simproto.Cursor) (engineCall, error) {
	r := decision.AttemptResult{
		Request: decision.RequestID(fields.Uint32()),
		Attempt: int(fields.Uint8()),
		Server:  decision.ServerID(fields.Uint32()),
	}
	outcome := simproto.OutcomeCode(fields.Uint16())
	r.Duration = engineTime(fields.Uint32())
	r.Final = fields.Uint8() != 0
	fields.Uint16() // metered use of the customer; the engine ignores it
	r.Units = float64(fields.Uint16())
	a.loadReport = fields.Float32s(a.loadReport)
	r.Load = a.loadReport
	var known bool
	if r.Outcome, known = outcomes[outcome]; !known && fields.Err() == nil {
		return nil, unknownOutcomeError(outcome)
	}
	return func(e *decision.Engine) { e.AttemptEnded(r) }, nil
}

// readHealthChecked reads an EventHealthChecked.
func (a *adapter) readHealthChecked(fields *simproto.Cursor) (engineCall, error) {
	server, code := decision.ServerID(fields.Uint32()), simproto.OutcomeCode(fields.Uint16())
	fields.Uint32() // time since the health check was sent, in microseconds
	a.loadReport = fields.Float32s(a.loadReport)
	outcome, known := outcomes[code]
	if !known && fields.Err() == nil {
		return nil, unknownOutcomeError(code)
	}
	return func(e *decision.Engine) { e.HealthChecked(server, outcome, a.loadReport) }, nil
}
