package main

import (
	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// microsPerTime is how many microseconds one unit of decision.Time has.
const microsPerTime = 100

// engineTime turns the protocol's microseconds into the engine's time, rounded down.
func engineTime(micros uint32) decision.Time { return decision.Time(micros / microsPerTime) }

// wireMicros turns the engine's time into the protocol's microseconds. A time below 0 wraps, which the simulator reads
// as one that has passed.
func wireMicros(t decision.Time) uint32 { return uint32(t * microsPerTime) }

var listKinds = map[simproto.ListKind]decision.EndpointListKind{
	simproto.ListFull:   decision.FullList,
	simproto.ListCached: decision.CachedList,
	simproto.ListFailed: decision.PollFailed,
	simproto.ListDelta:  decision.ListUpdate,
}

var endpointStates = map[simproto.EndpointState]decision.EndpointState{
	simproto.EndpointDraining: decision.Draining,
	simproto.EndpointReady:    decision.Ready,
	simproto.EndpointGone:     decision.Gone,
}

var outcomes = map[simproto.OutcomeCode]decision.Outcome{
	simproto.OutcomeOK:            decision.Succeeded,
	simproto.OutcomeError:         decision.Failed,
	simproto.OutcomeFull:          decision.Overloaded,
	simproto.OutcomeTimedOut:      decision.TimedOut,
	simproto.OutcomeConnectFailed: decision.ConnectFailed,
	simproto.OutcomeReset:         decision.ConnectionReset,
	simproto.OutcomeCancelled:     decision.Cancelled,
	simproto.OutcomeNotSent:       decision.NotSent,
}
