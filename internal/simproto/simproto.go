// Package simproto is the codec of the simulator's binary protocol. A Reader cuts standard input into batches of event
// records, a Cursor reads a record's fields, and a Reply builds the actions that answer one batch. All numbers are
// little-endian, all times are in microseconds. The package knows layouts only and decides nothing.
package simproto

import (
	"fmt"
)

const (
	batchHeaderSize  = 12 // u32 length, u64 clock
	replyHeaderSize  = 8  // u32 length, u32 number of records
	recordHeaderSize = 5  // u8 code, u32 length
)

// FormatError is input that does not follow the protocol.
type FormatError struct {
	Offset int64 // of the faulty byte, or of the record that holds it, in the whole input
	Err    error
}

func (e *FormatError) Error() string { return fmt.Sprintf("byte %d: %v", e.Offset, e.Err) }

// Unwrap gives what is wrong at the offset.
func (e *FormatError) Unwrap() error { return e.Err }

func formatErrorf(offset int64, format string, args ...any) error {
	return &FormatError{Offset: offset, Err: fmt.Errorf(format, args...)}
}
