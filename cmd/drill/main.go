// Command drill plays the decision module on the simulator's wire: it reads batches of events on
// standard input and writes one reply to each on standard output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cherrygap/internal/settings"
	"cherrygap/internal/wire"
	"cherrygap/rules"
)

const (
	microsPerTenth = 100
	everyPeer      = 1<<32 - 1
)

// drill holds the instances of this process; they share nothing.
type drill struct {
	nodes  map[uint16]*rules.Node
	active []uint16 // the instances with an event in the batch, in order of their first
	now    rules.Time
	reply  wire.Reply
	load   []float64
	list   []rules.Listing
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	d := &drill{nodes: map[uint16]*rules.Node{}}
	frames, w := wire.NewFrames(in), bufio.NewWriter(out)
	for {
		clock, batch, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		d.now = rules.Time(clock / microsPerTenth)
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
func (d *drill) event(batch *wire.Cursor) error {
	at := batch.At()
	code, c, err := batch.Record()
	if err != nil {
		return err
	}
	inst := c.U16()
	switch code {
	case wire.EvBegin:
		seed := c.U64()
		text := c.Bytes(c.U32())
		if c.Err() == nil {
			set := settings.FromText(text)
			d.guard(inst, func() { d.nodes[inst] = rules.New(seed, set, d.now) })
			d.touch(inst)
		}
		return c.Err()
	case wire.EvKill:
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
		n.Clock(d.now)
		call(n)
	})
	return nil
}

// read takes the fields of an event and returns the call that they ask for.
func (d *drill) read(code byte, c *wire.Cursor) (func(*rules.Node), error) {
	switch code {
	case wire.EvRequest:
		a := rules.Arrival{ID: c.U32(), Band: int(c.U8()), Plan: int(c.U32()), Customer: c.U64(),
			Left: tenths(c.U32()), Units: c.F32(), Spread: int(c.F32()), First: int(c.F32())}
		c.U8() // attributes
		return func(n *rules.Node) { n.Take(a) }, nil
	case wire.EvFleet:
		c.U32() // stamp: the events are in order and complete
		kind, known := rosterKinds[c.U8()]
		if c.Err() == nil && !known {
			return nil, errors.New("roster message of an unknown kind")
		}
		d.list = d.list[:0]
		for k := c.U32(); k > 0 && c.Err() == nil; k-- {
			l := rules.Listing{Server: c.U32(), Zone: c.U8(), Kind: c.U16(), Cell: c.U16()}
			l.State, known = states[c.U8()]
			l.Weight, l.Started = c.F32(), rules.Time(c.U64()/microsPerTenth)
			if c.Err() == nil && !known {
				return nil, errors.New("roster entry in an unknown state")
			}
			d.list = append(d.list, l)
		}
		return func(n *rules.Node) { n.Roster(kind, d.list) }, nil
	case wire.EvPeer:
		from := int(c.U32())
		text := c.Bytes(uint32(c.U16()))
		return func(n *rules.Node) { n.Heard(from, text) }, nil
	case wire.EvLapsed:
		id := c.U32()
		return func(n *rules.Node) { n.Lapsed(id) }, nil
	case wire.EvTallied:
		c.U64()
		c.U16()
		c.F32()
		c.U32()
		return func(*rules.Node) {}, nil // the module makes no counts
	case wire.EvStarted:
		id := c.U32()
		c.U8()
		c.U32()
		c.U32()
		return func(n *rules.Node) { n.Started(id) }, nil
	case wire.EvEnded:
		r := rules.Result{Ticket: c.U32(), Nth: int(c.U8()), Server: c.U32()}
		reason := c.U16()
		r.Took = tenths(c.U32())
		r.Settled = c.U8() != 0
		c.U16() // the customer's use as metered: no deployment has a meter
		r.Units = float64(c.U16())
		d.load = c.Floats(d.load)
		r.Load = d.load
		var known bool
		if r.Outcome, known = outcomes[reason]; !known && c.Err() == nil {
			return nil, fmt.Errorf("unknown outcome %d", reason)
		}
		return func(n *rules.Node) { n.Ended(r) }, nil
	case wire.EvEcho:
		server, reason := c.U32(), c.U16()
		c.U32()
		d.load = c.Floats(d.load)
		o, known := outcomes[reason]
		if !known && c.Err() == nil {
			return nil, fmt.Errorf("unknown outcome %d", reason)
		}
		return func(n *rules.Node) { n.Probed(server, o, d.load) }, nil
	case wire.EvElapsed:
		c.U32()
		return func(n *rules.Node) { n.Elapsed() }, nil
	}
	return nil, fmt.Errorf("unknown event %d", code)
}

func (d *drill) touch(inst uint16) {
	for _, v := range d.active {
		if v == inst {
			return
		}
	}
	d.active = append(d.active, inst)
}

// decide pulls an instance's decisions and writes them.
func (d *drill) decide(inst uint16) {
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

func (d *drill) write(inst uint16, a rules.Decision) {
	r := &d.reply
	switch a.Verb {
	case rules.Send:
		r.Open(wire.ActPassOn, inst).U32(a.Ticket).U32(micros(a.Span)).U32(a.Server)
	case rules.Bounce:
		r.Open(wire.ActRefuse, inst).U32(a.Ticket).U32(micros(a.Span))
	case rules.BreakOff:
		r.Open(wire.ActSurrender, inst).U32(a.Ticket)
	case rules.Withdraw:
		r.Open(wire.ActRecall, inst).U32(a.Ticket).U8(byte(a.Nth))
	case rules.Wake:
		r.Open(wire.ActWakeAt, inst).U32(micros(a.Span)).U32(0)
	case rules.Probe:
		r.Open(wire.ActSample, inst).U32(a.Server)
	case rules.Tell:
		to := uint32(everyPeer)
		if a.Peer != rules.Everyone {
			to = uint32(a.Peer)
		}
		r.Open(wire.ActWritePeer, inst).U32(to).Text(a.Text)
	case rules.Watch:
		r.Open(wire.ActStream, inst).U8(1)
	case rules.Note:
		r.Open(wire.ActNoteDown, inst).Text(a.Text)
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", a.Verb))
	}
	r.Close()
}

// guard turns a panic of the module into a fault of that instance.
func (d *drill) guard(inst uint16, f func()) {
	defer func() {
		if p := recover(); p != nil {
			d.reply.Open(wire.ActFault, inst).Text([]byte(fmt.Sprint(p)))
			d.reply.Close()
		}
	}()
	f()
}

func tenths(us uint32) rules.Time { return rules.Time(us / microsPerTenth) }

func micros(t rules.Time) uint32 { return uint32(t * microsPerTenth) }

var rosterKinds = map[byte]rules.RosterKind{0: rules.Whole, 1: rules.Cached, 2: rules.Missed, 3: rules.Change}

var states = map[byte]rules.State{0: rules.Draining, 1: rules.Ready, 3: rules.Gone}

var outcomes = map[uint16]rules.Outcome{
	0: rules.OK, 255: rules.Failed, 254: rules.Full, 253: rules.TimedOut, 252: rules.Unreached,
	251: rules.Reset, 250: rules.Withdrawn, 249: rules.Moot,
}
