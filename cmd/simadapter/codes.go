package main

import (
	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// microsPerTimeUnit is the unit of decision.Time, in microseconds.
const microsPerTimeUnit = 100

// engineTime converts microseconds to the engine's time, rounded down.
func engineTime(micros uint32) decision.Time { return decision.Time(micros / microsPerTimeUnit) }

// wireMicros converts the engine's time to microseconds. A negative time wraps around, and the simulator treats the result
// as a time in the past.
func wireMicros(t decision.Time) uint32 { return uint32(t * microsPerTimeUnit) }

// listKinds maps the protocol's kinds of endpoint lists to the engine's.
var listKinds = map[simproto.ListKind]decision.EndpointListKind{
	simproto.ListFull:   decision.FullList,
	simproto.ListCached: decision.CachedList,
	simproto.ListFailed: decision.PollFailed,
	simproto.ListDelta:  decision.ListUpdate,
}

// endpointStates maps the protocol's endpoint states to the engine's.
var endpointStates = map[simproto.EndpointState]decision.EndpointState{
	simproto.EndpointDraining:   decision.Draining,
	simproto.EndpointInService:  decision.Ready,
	simproto.EndpointTerminated: decision.Gone,
}

// outcomes maps the protocol's outcomes of attempts and health checks to the engine's.
var outcomes = map[simproto.OutcomeCode]decision.Outcome{
	simproto.OutcomeOK:            decision.Succeeded,
	simproto.OutcomeError:         decision.Failed,
	simproto.OutcomeOverloaded:    decision.Overloaded,
	simproto.OutcomeTimedOut:      decision.TimedOut,
	simproto.OutcomeConnectFailed: decision.ConnectFailed,
	simproto.OutcomeReset:         decision.ConnectionReset,
	simproto.OutcomeCancelled:     decision.Cancelled,
	simproto.OutcomeNotSent:       decision.NotSent,
}
