package main

import (
	"fmt"

	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// writeDecision writes the action of a decision. It panics on one that the protocol has no action for, which the
// caller turns into the instance's fault.
func (a *adapter) writeDecision(instance instanceID, d decision.Decision) {
	begin := func(code simproto.ActionCode) *simproto.Reply { return a.reply.Begin(code, uint16(instance)) }
	switch d.Action {
	case decision.Forward:
		begin(simproto.ActionPassOn).Uint32(uint32(d.Request)).Uint32(wireMicros(d.Duration)).Uint32(uint32(d.Server))
	case decision.Reject:
		begin(simproto.ActionRefuse).Uint32(uint32(d.Request)).Uint32(wireMicros(d.Duration))
	case decision.Fail:
		begin(simproto.ActionSurrender).Uint32(uint32(d.Request))
	case decision.CancelAttempt:
		begin(simproto.ActionRecall).Uint32(uint32(d.Request)).Uint8(uint8(d.Attempt))
	case decision.SetTimer:
		begin(simproto.ActionWakeAt).Uint32(wireMicros(d.Duration)).Uint32(timerToken)
	case decision.HealthCheck:
		begin(simproto.ActionSample).Uint32(uint32(d.Server))
	case decision.SendPeerMessage:
		begin(simproto.ActionWritePeer).Uint32(wirePeer(d.Peer)).Text(d.Payload)
	case decision.PollEndpoints:
		begin(simproto.ActionStreamChanges).Uint8(subscribe)
	case decision.LogSummary:
		begin(simproto.ActionNoteDown).Text(d.Payload)
	default:
		panic(fmt.Sprintf("decision with unknown action %d", d.Action))
	}
	a.reply.End()
}

const (
	timerToken = 0 // an engine has one timer at a time
	subscribe  = 1
)

func wirePeer(peer decision.NodeID) uint32 {
	if peer == decision.AllPeers {
		return simproto.AllPeers
	}
	return uint32(peer)
}
