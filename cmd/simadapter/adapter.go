package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"cherrygap/internal/decision"
	"cherrygap/internal/settings"
	"cherrygap/internal/simproto"
)

// instanceID is the simulator's number of an instance.
type instanceID uint16

// adapter holds the instances of this process, which share nothing, and the buffers of the batch at hand. It is used by
// one goroutine.
type adapter struct {
	engines map[instanceID]*decision.Engine
	active  []instanceID // instances with an event in the batch, in the order of their first one
	now     decision.Time
	reply   simproto.Reply

	// Buffers of one event's fields, used again for the next.
	loadReport []float64
	endpoints  []decision.Endpoint
}

// run answers batches until the end of input. Input that does not follow the protocol is a simproto.FormatError.
func run(in io.Reader, out io.Writer) error {
	a := &adapter{engines: map[instanceID]*decision.Engine{}}
	reader, writer := simproto.NewReader(in), bufio.NewWriter(out)
	for {
		clock, records, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.answer(clock, records); err != nil {
			return err
		}
		if _, err := writer.Write(a.reply.Finish()); err != nil {
			return fmt.Errorf("write of a reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write of a reply: %w", err)
		}
	}
}

// answer takes in a batch's events and builds the reply: first all events, then the decisions of each instance that had
// one.
func (a *adapter) answer(clock uint64, records *simproto.Cursor) error {
	a.now = decision.Time(clock / microsPerTime)
	a.active = a.active[:0]
	a.reply.Reset()
	for records.More() {
		if err := a.takeEvent(records); err != nil {
			return err
		}
	}
	for _, instance := range a.active {
		a.collectDecisions(instance)
	}
	return nil
}

// takeEvent reads one record and reports it to its instance's engine.
func (a *adapter) takeEvent(records *simproto.Cursor) error {
	offset := records.Offset()
	code, fields, err := records.Record()
	if err != nil {
		return err
	}
	instance := instanceID(fields.Uint16())
	switch code {
	case simproto.EventBegin:
		return a.begin(instance, fields)
	case simproto.EventKill:
		return a.kill(instance, offset, fields)
	}
	report, err := a.readEvent(code, fields)
	if err != nil {
		return &simproto.FormatError{Offset: offset, Err: err}
	}
	if fields.Err() != nil {
		return fields.Err()
	}
	engine := a.engines[instance]
	if engine == nil {
		return &simproto.FormatError{
			Offset: offset,
			Err:    fmt.Errorf("event %d for instance %d, which has not begun", code, instance),
		}
	}
	a.markActive(instance)
	a.recoverFault(instance, func() {
		engine.SetTime(a.now)
		report(engine)
	})
	return nil
}

// begin starts an instance, anew if there is one of its number.
func (a *adapter) begin(instance instanceID, fields *simproto.Cursor) error {
	seed := fields.Uint64()
	text := fields.Bytes(fields.Uint32())
	if fields.Err() != nil {
		return fields.Err()
	}
	set := settings.FromText(text)
	a.recoverFault(instance, func() { a.engines[instance] = decision.New(seed, set, a.now) })
	a.markActive(instance)
	return nil
}

// kill discards an instance and what it did not decide yet.
func (a *adapter) kill(instance instanceID, offset int64, fields *simproto.Cursor) error {
	if fields.Err() != nil {
		return fields.Err()
	}
	if a.engines[instance] == nil {
		return &simproto.FormatError{Offset: offset, Err: fmt.Errorf("kill of instance %d, which has not begun", instance)}
	}
	delete(a.engines, instance)
	if i := slices.Index(a.active, instance); i >= 0 {
		a.active = slices.Delete(a.active, i, i+1)
	}
	return nil
}

func (a *adapter) markActive(instance instanceID) {
	if !slices.Contains(a.active, instance) {
		a.active = append(a.active, instance)
	}
}

// collectDecisions asks an instance's engine for decisions until it has no more, and writes them.
func (a *adapter) collectDecisions(instance instanceID) {
	engine := a.engines[instance]
	if engine == nil {
		return
	}
	a.recoverFault(instance, func() {
		for {
			d, ok := engine.Next()
			if !ok {
				return
			}
			a.writeDecision(instance, d)
		}
	})
}

// recoverFault calls f and turns a panic into the instance's fault, which ends the simulated day with its text.
func (a *adapter) recoverFault(instance instanceID, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			a.reply.Begin(simproto.ActionFault, uint16(instance)).Text([]byte(fmt.Sprint(cause)))
			a.reply.End()
		}
	}()
	f()
}
