package main

import (
	"errors"
	"fmt"

	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// The faults of an event's fields. What the protocol page doesn't name is an error, not passed over: the engine would
// decide on half of what happened.
var (
	errUnknownListKind      = errors.New("endpoint list of an unknown kind")
	errUnknownEndpointState = errors.New("endpoint in an unknown state")
)

// unknownOutcomeError is an outcome that the protocol page doesn't name.
type unknownOutcomeError simproto.OutcomeCode

func (e unknownOutcomeError) Error() string { return fmt.Sprintf("unknown outcome %d", uint16(e)) }

// reportFunc reports one event to an engine.
type reportFunc func(*decision.Engine)

// readEvent reads an event's fields and returns how to report it. Fields that are cut off show in the cursor's Err
// alone.
func (a *adapter) readEvent(code simproto.EventCode, fields *simproto.Cursor) (reportFunc, error) {
	switch code {
	case simproto.EventRequest:
		return readRequest(fields), nil
	case simproto.EventFleet:
		return a.readEndpointList(fields)
	case simproto.EventPeer:
		from := decision.NodeID(fields.Uint32())
		text := fields.Bytes(uint32(fields.Uint16()))
		return func(e *decision.Engine) { e.ReceivePeerMessage(from, text) }, nil
	case simproto.EventLapsed:
		request := decision.RequestID(fields.Uint32())
		return func(e *decision.Engine) { e.ClientGone(request) }, nil
	case simproto.EventTallied:
		return readTallied(fields), nil
	case simproto.EventStarted:
		return readStarted(fields), nil
	case simproto.EventEnded:
		return a.readEnded(fields)
	case simproto.EventEcho:
		return a.readHealthCheck(fields)
	case simproto.EventElapsed:
		fields.Uint32() // token: the engine has one timer
		return func(e *decision.Engine) { e.TimerFired() }, nil
	}
	return nil, fmt.Errorf("unknown event %d", code)
}

func readRequest(fields *simproto.Cursor) reportFunc {
	r := decision.Request{
		ID:        decision.RequestID(fields.Uint32()),
		Class:     decision.ClassID(fields.Uint8()),
		Plan:      decision.PlanID(fields.Uint32()),
		Customer:  decision.CustomerID(fields.Uint64()),
		Timeout:   engineTime(fields.Uint32()),
		Units:     fields.Float32(),
		Spread:    int(fields.Float32()),
		FirstNode: decision.NodeID(fields.Float32()),
	}
	fields.Uint8() // attributes: whether a client repeats changes no decision
	return func(e *decision.Engine) { e.AddRequest(r) }
}

func (a *adapter) readEndpointList(fields *simproto.Cursor) (reportFunc, error) {
	fields.Uint32() // list version: the events come in order and complete
	kind, known := listKinds[simproto.ListKind(fields.Uint8())]
	if fields.Err() == nil && !known {
		return nil, errUnknownListKind
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

func readEndpoint(fields *simproto.Cursor) (decision.Endpoint, error) {
	endpoint := decision.Endpoint{
		Server: decision.ServerID(fields.Uint32()),
		Zone:   fields.Uint8(),
		Kind:   fields.Uint16(),
		Cell:   fields.Uint16(),
	}
	state, known := endpointStates[simproto.EndpointState(fields.Uint8())]
	endpoint.State = state
	endpoint.Weight = fields.Float32()
	endpoint.Started = decision.Time(fields.Uint64() / microsPerTime)
	if fields.Err() == nil && !known {
		return endpoint, errUnknownEndpointState
	}
	return endpoint, nil
}

// readTallied passes over the result of a shared count, which the engine doesn't use.
func readTallied(fields *simproto.Cursor) reportFunc {
	fields.Uint64()  // name
	fields.Uint16()  // outcome
	fields.Float32() // sum
	fields.Uint32()  // time since the call
	return func(*decision.Engine) {}
}

func readStarted(fields *simproto.Cursor) reportFunc {
	request := decision.RequestID(fields.Uint32())
	fields.Uint8()  // attempt
	fields.Uint32() // server
	fields.Uint32() // time since the send
	return func(e *decision.Engine) { e.ResponseStarted(request) }
}

func (a *adapter) readEnded(fields *simproto.Cursor) (reportFunc, error) {
	r := decision.AttemptResult{
		Request: decision.RequestID(fields.Uint32()),
		Attempt: int(fields.Uint8()),
		Server:  decision.ServerID(fields.Uint32()),
	}
	outcome := simproto.OutcomeCode(fields.Uint16())
	r.Duration = engineTime(fields.Uint32())
	r.Final = fields.Uint8() != 0
	fields.Uint16() // the customer's use as metered: no deployment has a meter
	r.Units = float64(fields.Uint16())
	a.loadReport = fields.Float32s(a.loadReport)
	r.Load = a.loadReport
	var known bool
	if r.Outcome, known = outcomes[outcome]; !known && fields.Err() == nil {
		return nil, unknownOutcomeError(outcome)
	}
	return func(e *decision.Engine) { e.AttemptEnded(r) }, nil
}

func (a *adapter) readHealthCheck(fields *simproto.Cursor) (reportFunc, error) {
	server, code := decision.ServerID(fields.Uint32()), simproto.OutcomeCode(fields.Uint16())
	fields.Uint32() // time since the send
	a.loadReport = fields.Float32s(a.loadReport)
	outcome, known := outcomes[code]
	if !known && fields.Err() == nil {
		return nil, unknownOutcomeError(code)
	}
	return func(e *decision.Engine) { e.HealthChecked(server, outcome, a.loadReport) }, nil
}
