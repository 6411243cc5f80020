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

// instanceID is the simulator's number of an instance, that is of a simulated node.
type instanceID uint16

// adapter runs the engines of the simulated nodes. It is not safe for concurrent use.
type adapter struct {
	engines         map[instanceID]*decision.Engine
	activeInstances []instanceID   // instances with an event in the current batch, in the order of their first event
	now             decision.Time  // simulated time of the current batch
	reply           simproto.Reply // reply to the current batch

	loadReport []float64           // load report of the current event; the next event reuses the memory
	endpoints  []decision.Endpoint // endpoints of the current event; the next event reuses the memory
}

// run replies to batches until the end of the input. If the input does not follow the protocol, the error is a
// *simproto.FormatError.
func run(in io.Reader, out io.Writer) error {
	a := &adapter{engines: map[instanceID]*decision.Engine{}}
	reader, writer := simproto.NewReader(in), bufio.NewWriter(out)
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(batch); err != nil {
			return err
		}
		if _, err := writer.Write(a.reply.Finish()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handleBatch passes all events of a batch to the engines. Then it builds the reply from the decisions of each instance
// that had an event.
func (a *adapter) handleBatch(batch simproto.Batch) error {
	a.now = decision.Time(batch.ClockMicros / microsPerTimeUnit)
	a.activeInstances = a.activeInstances[:0]
	a.reply.Reset()
	for batch.Records.More() {
		record, err := batch.Records.Next()
		if err != nil {
			return err
		}
		if err := a.handleEvent(record); err != nil {
			return err
		}
	}
	for _, instance := range a.activeInstances {
		a.collectDecisions(instance)
	}
	return nil
}

// handleEvent passes an event to the engine of its instance, or starts or removes the instance. An error is a
// *simproto.FormatError.
func (a *adapter) handleEvent(record simproto.Record) error {
	fields := record.Fields
	instance := instanceID(fields.Uint16())
	switch record.Code {
	case simproto.EventInstanceStarted:
		return a.startInstance(instance, fields)
	case simproto.EventInstanceKilled:
		return a.killInstance(instance, record)
	}
	call, err := a.readEvent(record.Code, fields)
	if err != nil {
		return &simproto.FormatError{Offset: record.Offset, Err: err}
	}
	if fields.Err() != nil {
		return fields.Err()
	}
	engine := a.engines[instance]
	if engine == nil {
		return &simproto.FormatError{
			Offset: record.Offset,
			Err:    fmt.Errorf("event with code %d for instance %d, which has not started", record.Code, instance),
		}
	}
	a.markActive(instance)
	a.recoverFault(instance, func() {
		engine.SetTime(a.now)
		call(engine)
	})
	return nil
}

// startInstance starts an instance. It replaces an instance with the same number.
func (a *adapter) startInstance(instance instanceID, fields *simproto.Cursor) error {
	seed := fields.Uint64()
	text := fields.Bytes(fields.Uint32())
	if fields.Err() != nil {
		return fields.Err()
	}
	parsedSettings := settings.FromText(text)
	a.recoverFault(instance, func() { a.engines[instance] = decision.New(seed, parsedSettings, a.now) })
	a.markActive(instance)
	return nil
}

// killInstance removes an instance and its pending decisions.
func (a *adapter) killInstance(instance instanceID, record simproto.Record) error {
	if err := record.Fields.Err(); err != nil {
		return err
	}
	if a.engines[instance] == nil {
		return &simproto.FormatError{
			Offset: record.Offset,
			Err:    fmt.Errorf("kill event for instance %d, which has not started", instance),
		}
	}
	delete(a.engines, instance)
	if i := slices.Index(a.activeInstances, instance); i >= 0 {
		a.activeInstances = slices.Delete(a.activeInstances, i, i+1)
	}
	return nil
}

// markActive records that an instance has an event in the current batch.
func (a *adapter) markActive(instance instanceID) {
	if !slices.Contains(a.activeInstances, instance) {
		a.activeInstances = append(a.activeInstances, instance)
	}
}

// collectDecisions adds the decisions of an instance's engine to the reply.
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

// recoverFault calls f. If f panics, it adds an ActionFault of the instance to the reply. The simulator ends the run at
// that action.
func (a *adapter) recoverFault(instance instanceID, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			a.reply.Begin(simproto.ActionFault, uint16(instance)).Bytes([]byte(fmt.Sprint(cause)))
			a.reply.End()
		}
	}()
	f()
}
