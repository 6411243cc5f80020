package main

import (
	"fmt"

	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// timerToken is the token of an engine's timer. An engine has one timer at a time.
const timerToken = 0

// writeDecision adds the action for a decision to the reply. It panics if the protocol has no action for the decision, so
// the caller must call it within recoverFault.
func (a *adapter) writeDecision(instance instanceID, d decision.Decision) {
	begin := func(code simproto.ActionCode) *simproto.Reply { return a.reply.Begin(code, uint16(instance)) }
	switch d.Action {
	case decision.Forward:
		begin(simproto.ActionForward).Uint32(uint32(d.Request)).Uint32(wireMicros(d.Duration)).Uint32(uint32(d.Server))
	case decision.Reject:
		begin(simproto.ActionReject).Uint32(uint32(d.Request)).Uint32(wireMicros(d.Duration))
	case decision.Fail:
		begin(simproto.ActionFail).Uint32(uint32(d.Request))
	case decision.CancelAttempt:
		begin(simproto.ActionCancelAttempt).Uint32(uint32(d.Request)).Uint8(uint8(d.Attempt))
	case decision.SetTimer:
		begin(simproto.ActionSetTimer).Uint32(wireMicros(d.Duration)).Uint32(timerToken)
	case decision.HealthCheck:
		begin(simproto.ActionCheckHealth).Uint32(uint32(d.Server))
	case decision.SendPeerMessage:
		begin(simproto.ActionSendPeerMessage).Uint32(wirePeer(d.Peer)).Bytes(d.Payload)
	case decision.PollEndpoints: // The simulator's watch replaces a poll that waits for changes.
		begin(simproto.ActionWatchEndpoints).Uint8(simproto.WatchStart)
	case decision.LogSummary:
		begin(simproto.ActionLog).Bytes(d.Payload)
	default:
		panic(fmt.Sprintf("decision with unknown action %d", d.Action))
	}
	a.reply.End()
}

// wirePeer returns the receiver of a peer message on the wire.
func wirePeer(peer decision.NodeID) uint32 {
	if peer == decision.AllPeers {
		return simproto.AllPeers
	}
	return uint32(peer)
}
