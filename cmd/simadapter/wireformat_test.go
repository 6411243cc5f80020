package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// Codes of the simulator's protocol documentation. The tests do not use simproto's constants, so that a changed constant
// fails them.
const (
	// Codes of events.
	codeRequest, codeEndpointList, codePeerMessage, codeClientGone, codeCountAdded, codeResponseStarted = 1, 2, 3, 4, 5, 6
	codeAttemptEnded, codeInstanceKilled, codeHealthChecked, codeTimerFired, codeInstanceStarted        = 7, 8, 9, 10, 11

	// Codes of actions.
	codeReject, codeCancelAttempt, codeSendPeerMessage, codeLog, codeWatchEndpoints = 1, 2, 3, 4, 6
	codeFault, codeFail, codeForward, codeCheckHealth, codeSetTimer                 = 8, 9, 10, 12, 13
)

// fromHex decodes hexadecimal digits. It ignores blanks.
func fromHex(t *testing.T, s string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatalf("decoding the test's hexadecimal digits: %v", err)
	}
	return raw
}

// A wrong size or order of fields would break the simulator's protocol. Batches with every event code get replies with the
// expected bytes.
func TestEventWireFormat(t *testing.T) {
	const setup = "services.count=1\nservices.0.slo=600000\nservices.0.semantics=idempotent\n" +
		"services.0.stream=true\ntiers_of_service.count=1\ntiers_of_service.0.units_per_s=5\n" +
		"tiers_of_service.0.depth=10\nreplicas_of_me=1\ntick=4000\nlimits.attempts_cap=2\nregistry_mode=subscribe\n"
	startRecord := hex.EncodeToString(record(codeInstanceStarted, uint16(3), uint64(9), uint32(len(setup)), setup))
	batches := []string{
		"", // empty batch
		startRecord +
			// two servers in service, one draining
			"02 4d000000 0300 01000000 01 03000000" +
			"4d000000 00 0000 0000 01 0000803f 0000000000000000" +
			"4e000000 01 0100 0200 01 00000040 00ca9a3b00000000" +
			"4f000000 02 0200 0300 00 0000803f 0000000000000000",
		"01 24000000 0300 f4010000 00 00000000 0300000000000000 a0bb0d00 0000803f 0000803f 00000000 00" +
			"01 24000000 0300 f5010000 00 00000000 0300000000000000 a0bb0d00 0000803f 0000803f 00000000 02" +
			"01 24000000 0300 f6010000 00 00000000 0400000000000000 a0bb0d00 0000803f 0000803f 00000000 04" +
			"0a 06000000 0300 00000000",
		"06 0f000000 0300 f4010000 00 4d000000 22240000" + // response started
			"07 1f000000 0300 f5010000 00 4e000000 ff00 44480000 00 0000 0000 02 0000803f 00000040" + // attempt with an error
			"07 17000000 0300 f6010000 00 4d000000 0000 44480000 01 5600 0300 00", // attempt completed, with its actual units
		"04 06000000 0300 f5010000" + // client disconnected
			"03 0a000000 0300 01000000 0200 c800" + // peer message
			"05 14000000 0300 90f6890000000000 0000 00001842 66080000" + // count added
			"09 11000000 0300 4d000000 0000 66080000 01 0000803f" + // health checked
			"02 0b000000 0300 02000000 02 00000000" + // call to discovery failed
			"0a 06000000 0300 00000000",
		"02 21000000 0300 02000000 03 01000000 4e000000 01 0100 0200 03 00000040 0000000000000000" + // changed list: one endpoint terminated
			"02 0b000000 0300 03000000 00 00000000" + // a full list without endpoints
			"01 24000000 0300 f7010000 00 00000000 0400000000000000 a0bb0d00 0000803f 0000803f 00000000 00",
		"08 02000000 0300",
	}
	var in bytes.Buffer
	for i, b := range batches {
		in.Write(batch(1000000000+uint64(i)*4000, fromHex(t, b)))
	}
	var out bytes.Buffer
	if err := run(&in, &out); err != nil {
		t.Fatalf("run: %v", err)
	}
	want := []string{
		"00000000 00000000",
		"17000000 02000000  06 03000000 0300 01  0d 0a000000 0300 204e0000 00000000",
		"39000000 03000000  0a 0e000000 0300 f4010000 f0840d00 4e000000" +
			"0a 0e000000 0300 f5010000 f0840d00 4e000000  0a 0e000000 0300 f6010000 f0840d00 4d000000",
		"0f000000 01000000  01 0a000000 0300 f5010000 00000000",
		"00000000 00000000",
		"0f000000 01000000  01 0a000000 0300 f7010000 00000000",
		"00000000 00000000",
	}
	compareReplies(t, out.Bytes(), want)
}

// compareReplies splits a stream of replies and compares each with the expected bytes.
func compareReplies(t *testing.T, out []byte, want []string) {
	t.Helper()
	var got []string
	for len(out) >= 8 {
		size := int(binary.LittleEndian.Uint32(out))
		got = append(got, hex.EncodeToString(out[:8+size]))
		out = out[8+size:]
	}
	for i, w := range want {
		want[i] = strings.Join(strings.Fields(w), "")
	}
	if len(out) != 0 || !slices.Equal(got, want) {
		t.Errorf("%d bytes of an incomplete reply and the replies:\n%s\nwant 0 bytes and the replies:\n%s", len(out), strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// A wrong size or order of fields would break the simulator's protocol. Each decision of the engine has the expected bytes.
// The names of the subtests are those of the protocol documentation.
func TestActionWireFormat(t *testing.T) {
	for _, c := range []struct {
		name     string
		decision decision.Decision
		want     string
	}{
		{"pass_on", decision.Decision{Action: decision.Forward, Request: 0x5d3a91c4, Duration: 800, Server: 0x03124a07}, "0a 0e000000 0300 c4913a5d 80380100 074a1203"},
		{"pass_on, no time left", decision.Decision{Action: decision.Forward, Request: 1, Duration: -1, Server: 2}, "0a 0e000000 0300 01000000 9cffffff 02000000"},
		{"refuse", decision.Decision{Action: decision.Reject, Request: 0x0e6f2b19, Duration: 2500}, "01 0a000000 0300 192b6f0e 90d00300"},
		{"refuse, no retry time", decision.Decision{Action: decision.Reject, Request: 0x0e6f2b19}, "01 0a000000 0300 192b6f0e 00000000"},
		{"surrender", decision.Decision{Action: decision.Fail, Request: 0x0e6f2b19, Duration: 7}, "09 06000000 0300 192b6f0e"},
		{"recall", decision.Decision{Action: decision.CancelAttempt, Request: 0x5d3a91c4, Attempt: 3}, "02 07000000 0300 c4913a5d 03"},
		{"wake_at", decision.Decision{Action: decision.SetTimer, Duration: 5000}, "0d 0a000000 0300 20a10700 00000000"},
		{"sample", decision.Decision{Action: decision.HealthCheck, Server: 0x03124a07}, "0c 06000000 0300 074a1203"},
		{"write_peer", decision.Decision{Action: decision.SendPeerMessage, Peer: 4, Payload: []byte("hi 7")}, "03 0c000000 0300 04000000 0400 68692037"},
		{"write_peer, all", decision.Decision{Action: decision.SendPeerMessage, Peer: decision.AllPeers, Payload: []byte("hi 7")}, "03 0c000000 0300 ffffffff 0400 68692037"},
		{"stream_changes", decision.Decision{Action: decision.PollEndpoints}, "06 03000000 0300 01"},
		{"note_down", decision.Decision{Action: decision.LogSummary, Payload: []byte("two servers unknown")}, "04 17000000 0300 1300 74776f207365727665727320756e6b6e6f776e"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a adapter
			a.reply.Reset()
			a.writeDecision(3, c.decision)
			want := fromHex(t, c.want)
			want = append(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, uint32(len(want))), 1), want...)
			if got := a.reply.Finish(); !bytes.Equal(got, want) {
				t.Errorf("reply with the action for %+v = %x, want %x", c.decision, got, want)
			}
		})
	}
}

// Without recovery a bug of the engine would end the adapter, and the simulator would not see the panic's text. A panic becomes
// an ActionFault with that text.
func TestPanicBecomesFaultAction(t *testing.T) {
	var a adapter
	a.reply.Reset()
	a.recoverFault(3, func() { panic("index out of range") })
	want := fromHex(t, "1b000000 01000000 08 16000000 0300 1200 696e646578206f7574206f662072616e6765")
	if got := a.reply.Finish(); !bytes.Equal(got, want) {
		t.Errorf("reply after a panic = %x, want %x", got, want)
	}
}

// The simulator knows the codes by number. All codes keep their numbers, also those that this adapter does not send.
func TestCodeNumbers(t *testing.T) {
	for want, got := range map[int]simproto.EventCode{
		codeRequest: simproto.EventRequest, codeEndpointList: simproto.EventEndpointList, codePeerMessage: simproto.EventPeerMessage,
		codeClientGone: simproto.EventClientGone, codeCountAdded: simproto.EventCountAdded, codeResponseStarted: simproto.EventResponseStarted,
		codeAttemptEnded: simproto.EventAttemptEnded, codeInstanceKilled: simproto.EventInstanceKilled, codeHealthChecked: simproto.EventHealthChecked,
		codeTimerFired: simproto.EventTimerFired, codeInstanceStarted: simproto.EventInstanceStarted,
	} {
		if int(got) != want {
			t.Errorf("simproto's constant for event code %d = %d, want %d", want, got, want)
		}
	}
	for want, got := range map[int]simproto.ActionCode{
		codeReject: simproto.ActionReject, codeCancelAttempt: simproto.ActionCancelAttempt, codeSendPeerMessage: simproto.ActionSendPeerMessage,
		codeLog: simproto.ActionLog, 5: simproto.ActionFetchEndpoints, codeWatchEndpoints: simproto.ActionWatchEndpoints,
		7: simproto.ActionCloseIdle, codeFault: simproto.ActionFault, codeFail: simproto.ActionFail,
		codeForward: simproto.ActionForward, 11: simproto.ActionAddToCount, codeCheckHealth: simproto.ActionCheckHealth,
		codeSetTimer: simproto.ActionSetTimer,
	} {
		if int(got) != want {
			t.Errorf("simproto's constant for action code %d = %d, want %d", want, got, want)
		}
	}
}

// The simulator knows outcomes, endpoint states and list kinds by number. They keep their numbers, and no others are defined.
func TestOutcomeAndStateNumbers(t *testing.T) {
	for code, want := range map[simproto.OutcomeCode]decision.Outcome{
		0: decision.Succeeded, 255: decision.Failed, 254: decision.Overloaded, 253: decision.TimedOut,
		252: decision.ConnectFailed, 251: decision.ConnectionReset, 250: decision.Cancelled, 249: decision.NotSent,
	} {
		if got, ok := outcomes[code]; !ok || got != want {
			t.Errorf("outcomes[%d] = %d, %v, want %d, true", code, got, ok, want)
		}
	}
	for code, want := range map[simproto.EndpointState]decision.EndpointState{0: decision.Draining, 1: decision.Ready, 3: decision.Gone} {
		if got, ok := endpointStates[code]; !ok || got != want {
			t.Errorf("endpointStates[%d] = %d, %v, want %d, true", code, got, ok, want)
		}
	}
	for code, want := range map[simproto.ListKind]decision.EndpointListKind{0: decision.FullList, 1: decision.CachedList, 2: decision.PollFailed, 3: decision.ListUpdate} {
		if got, ok := listKinds[code]; !ok || got != want {
			t.Errorf("listKinds[%d] = %d, %v, want %d, true", code, got, ok, want)
		}
	}
	if len(outcomes) != 8 || len(endpointStates) != 3 || len(listKinds) != 4 {
		t.Errorf("%d outcomes, %d endpoint states, %d list kinds, want 8, 3, 4", len(outcomes), len(endpointStates), len(listKinds))
	}
}

// A change of the adapter or of the engine could silently change a simulation. Three instances reply to six simulated seconds
// of traffic, with every event code, with the expected bytes. The texts of log lines ("notes") have their own digest, because
// their wording may change.
func TestSimulationTranscript(t *testing.T) {
	sim := newSimulator()
	fromTest, toAdapter := io.Pipe()
	fromAdapter, toTest := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := run(fromTest, toTest)
		toTest.CloseWithError(errors.Join(err, io.EOF))
		done <- err
	}()
	for k := range 1500 {
		if _, err := toAdapter.Write(batch(sim.now+4000, sim.step(k))); err != nil {
			t.Fatalf("step %d: writing the batch: %v", k, err)
		}
		head := make([]byte, 8)
		if _, err := io.ReadFull(fromAdapter, head); err != nil {
			t.Fatalf("step %d: reading the reply's header: %v", k, err)
		}
		reply := slices.Concat(head, make([]byte, binary.LittleEndian.Uint32(head)))
		if _, err := io.ReadFull(fromAdapter, reply[8:]); err != nil {
			t.Fatalf("step %d: reading the reply's actions: %v", k, err)
		}
		sim.applyReply(t, reply)
	}
	if err := toAdapter.Close(); err != nil {
		t.Fatalf("closing the adapter's input: %v", err)
	}
	if err := <-done; err != nil {
		t.Fatalf("run: %v", err)
	}
	for code := byte(1); code <= 11; code++ {
		if sim.eventCounts[code] == 0 {
			t.Errorf("the simulation sent no event with code %d, want at least one", code)
		}
	}
	got := fmt.Sprintf("events %v\nactions %v\nbytes %d %x\nnotes %d %x\n", sim.eventCounts, sim.actionCounts, len(sim.otherBytes),
		sha256.Sum256(sim.otherBytes), len(sim.logText), sha256.Sum256(sim.logText))
	const want = "events map[1:7982 2:14 3:130 4:20 5:3 6:726 7:2327 8:1 9:6 10:1500 11:4]\n" +
		"actions map[1:5815 2:28 3:65 4:15 6:2 9:57 10:2355 13:2113]\n" +
		"bytes 177446 9848cf58a93e67c576cddc5d41423dfcfcac6771b709e281ffa0dd8f0b9ac724\n" +
		"notes 2231 33b1c25f43e99a4feb7c12c8ea955ba55ed1baedc1c34e2c88437bdd0f693dcd\n"
	if got != want {
		t.Errorf("digests of the simulation:\ngot\n%swant\n%s", got, want)
	}
}
