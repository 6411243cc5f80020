// Command simadapter plays the decision module on the simulator's wire: it reads batches of events on
// standard input and writes one reply to each on standard output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cherrygap/internal/decision"
	"cherrygap/internal/settings"
	"cherrygap/internal/simproto"
)

const (
	microsPerTenth = 100
	everyPeer      = 1<<32 - 1
)

// adapter holds the instances of this process; they share nothing.
type adapter struct {
	nodes  map[uint16]*decision.Engine
	active []uint16 // the instances with an event in the batch, in order of their first
	now    decision.Time
	reply  simproto.Reply
	load   []float64
	list   []decision.Endpoint
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	d := &adapter{nodes: map[uint16]*decision.Engine{}}
	frames, w := simproto.NewFrames(in), bufio.NewWriter(out)
	for {
		clock, batch, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		d.now = decision.Time(clock / microsPerTenth)
		d.active = d.active[:0]
		d.reply.Reset()
		for batch.More() {
			if err := d.event(batch); err != nil {
				return err
			}
		}
		for _, inst := range d.active {
			d.decide(inst)
		}
		if _, err := w.Write(d.reply.Finish()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// event reads one record and tells the instance's module of it.
func (d *adapter) event(batch *simproto.Cursor) error {
	at := batch.At()
	code, c, err := batch.Record()
	if err != nil {
		return err
	}
	inst := c.U16()
	switch code {
	case simproto.EvBegin:
		seed := c.U64()
		text := c.Bytes(c.U32())
		if c.Err() == nil {
			set := settings.FromText(text)
			d.guard(inst, func() { d.nodes[inst] = decision.New(seed, set, d.now) })
			d.touch(inst)
		}
		return c.Err()
	case simproto.EvKill:
		if c.Err() == nil && d.nodes[inst] == nil {
			return fmt.Errorf("byte %d: kill of instance %d, which has not begun", at, inst)
		}
		delete(d.nodes, inst)
		for i, v := range d.active {
			if v == inst {
				d.active = append(d.active[:i], d.active[i+1:]...)
				break
			}
		}
		return c.Err()
	}
	call, err := d.read(code, c)
	if err != nil {
		return fmt.Errorf("byte %d: %w", at, err)
	}
	if c.Err() != nil {
		return c.Err()
	}
	n := d.nodes[inst]
	if n == nil {
		return fmt.Errorf("byte %d: event %d for instance %d, which has not begun", at, code, inst)
	}
	d.touch(inst)
	d.guard(inst, func() {
		n.SetTime(d.now)
		call(n)
	})
	return nil
}

// read takes the fields of an event and returns the call that they ask for.
func (d *adapter) read(code byte, c *simproto.Cursor) (func(*decision.Engine), error) {
	switch code {
	case simproto.EvRequest:
		a := decision.Request{
			ID: c.U32(), Class: int(c.U8()), Plan: int(c.U32()), Customer: c.U64(),
			Timeout: tenths(c.U32()), Units: c.F32(), Spread: int(c.F32()), FirstNode: int(c.F32()),
		}
		c.U8() // attributes
		return func(n *decision.Engine) { n.AddRequest(a) }, nil
	case simproto.EvFleet:
		c.U32() // stamp: the events are in order and complete
		kind, known := rosterKinds[c.U8()]
		if c.Err() == nil && !known {
			return nil, errors.New("roster message of an unknown kind")
		}
		d.list = d.list[:0]
		for k := c.U32(); k > 0 && c.Err() == nil; k-- {
			l := decision.Endpoint{Server: c.U32(), Zone: c.U8(), Kind: c.U16(), Cell: c.U16()}
			l.State, known = states[c.U8()]
			l.Weight, l.Started = c.F32(), decision.Time(c.U64()/microsPerTenth)
			if c.Err() == nil && !known {
				return nil, errors.New("roster entry in an unknown state")
			}
			d.list = append(d.list, l)
		}
		return func(n *decision.Engine) { n.UpdateEndpoints(kind, d.list) }, nil
	case simproto.EvPeer:
		from := int(c.U32())
		text := c.Bytes(uint32(c.U16()))
		return func(n *decision.Engine) { n.ReceivePeerMessage(from, text) }, nil
	case simproto.EvLapsed:
		id := c.U32()
		return func(n *decision.Engine) { n.ClientGone(id) }, nil
	case simproto.EvTallied:
		c.U64()
		c.U16()
		c.F32()
		c.U32()
		return func(*decision.Engine) {}, nil // the module makes no counts
	case simproto.EvStarted:
		id := c.U32()
		c.U8()
		c.U32()
		c.U32()
		return func(n *decision.Engine) { n.ResponseStarted(id) }, nil
	case simproto.EvEnded:
		r := decision.AttemptResult{Request: c.U32(), Attempt: int(c.U8()), Server: c.U32()}
		reason := c.U16()
		r.Duration = tenths(c.U32())
		r.Final = c.U8() != 0
		c.U16() // the customer's use as metered: no deployment has a meter
		r.Units = float64(c.U16())
		d.load = c.Floats(d.load)
		r.Load = d.load
		var known bool
		if r.Outcome, known = outcomes[reason]; !known && c.Err() == nil {
			return nil, fmt.Errorf("unknown outcome %d", reason)
		}
		return func(n *decision.Engine) { n.AttemptEnded(r) }, nil
	case simproto.EvEcho:
		server, reason := c.U32(), c.U16()
		c.U32()
		d.load = c.Floats(d.load)
		o, known := outcomes[reason]
		if !known && c.Err() == nil {
			return nil, fmt.Errorf("unknown outcome %d", reason)
		}
		return func(n *decision.Engine) { n.HealthChecked(server, o, d.load) }, nil
	case simproto.EvElapsed:
		c.U32()
		return func(n *decision.Engine) { n.TimerFired() }, nil
	}
	return nil, fmt.Errorf("unknown event %d", code)
}

func (d *adapter) touch(inst uint16) {
	for _, v := range d.active {
		if v == inst {
			return
		}
	}
	d.active = append(d.active, inst)
}

// decide pulls an instance's decisions and writes them.
func (d *adapter) decide(inst uint16) {
	n := d.nodes[inst]
	if n == nil {
		return
	}
	d.guard(inst, func() {
		for {
			a, ok := n.Next()
			if !ok {
				return
			}
			d.write(inst, a)
		}
	})
}

func (d *adapter) write(inst uint16, a decision.Decision) {
	r := &d.reply
	switch a.Action {
	case decision.Forward:
		r.Open(simproto.ActPassOn, inst).U32(a.Request).U32(micros(a.Duration)).U32(a.Server)
	case decision.Reject:
		r.Open(simproto.ActRefuse, inst).U32(a.Request).U32(micros(a.Duration))
	case decision.Fail:
		r.Open(simproto.ActSurrender, inst).U32(a.Request)
	case decision.CancelAttempt:
		r.Open(simproto.ActRecall, inst).U32(a.Request).U8(byte(a.Attempt))
	case decision.SetTimer:
		r.Open(simproto.ActWakeAt, inst).U32(micros(a.Duration)).U32(0)
	case decision.HealthCheck:
		r.Open(simproto.ActSample, inst).U32(a.Server)
	case decision.SendPeerMessage:
		to := uint32(everyPeer)
		if a.Peer != decision.AllPeers {
			to = uint32(a.Peer)
		}
		r.Open(simproto.ActWritePeer, inst).U32(to).Text(a.Payload)
	case decision.PollEndpoints:
		r.Open(simproto.ActStream, inst).U8(1)
	case decision.LogSummary:
		r.Open(simproto.ActNoteDown, inst).Text(a.Payload)
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", a.Action))
	}
	r.Close()
}

// guard turns a panic of the module into a fault of that instance.
func (d *adapter) guard(inst uint16, f func()) {
	defer func() {
		if p := recover(); p != nil {
			d.reply.Open(simproto.ActFault, inst).Text([]byte(fmt.Sprint(p)))
			d.reply.Close()
		}
	}()
	f()
}

func tenths(us uint32) decision.Time { return decision.Time(us / microsPerTenth) }

func micros(t decision.Time) uint32 { return uint32(t * microsPerTenth) }

var rosterKinds = map[byte]decision.EndpointListKind{0: decision.FullList, 1: decision.CachedList, 2: decision.PollFailed, 3: decision.ListUpdate}

var states = map[byte]decision.EndpointState{0: decision.Draining, 1: decision.Ready, 3: decision.Gone}

var outcomes = map[uint16]decision.Outcome{
	0: decision.Succeeded, 255: decision.Failed, 254: decision.Overloaded, 253: decision.TimedOut, 252: decision.ConnectFailed,
	251: decision.ConnectionReset, 250: decision.Cancelled, 249: decision.NotSent,
}
