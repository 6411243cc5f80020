// Package simproto encodes and decodes the simulator's binary protocol. A Reader splits a stream into batches. Records reads
// the event records of a batch, and a Cursor reads the fields of a record. A Reply builds the actions in reply to a batch. All
// integers are little-endian. All times are in microseconds.
//
// The identifiers of this package are the standard terms for the protocol's names; codes.go maps them.
package simproto

import (
	"fmt"
)

// Sizes of the headers, in bytes.
const (
	batchHeaderSize  = 12 // size of the records (uint32), clock (uint64)
	replyHeaderSize  = 8  // size of the records (uint32), number of records (uint32)
	recordHeaderSize = 5  // code (uint8), size of the fields (uint32)
)

// FormatError is the error for input that does not follow the protocol.
type FormatError struct {
	Offset int64 // offset of the invalid byte, or of its record, in the whole input
	Err    error // description of the fault at Offset
}

// Error returns the offset and the text of Err.
func (e *FormatError) Error() string { return fmt.Sprintf("byte %d: %v", e.Offset, e.Err) }

// Unwrap returns Err.
func (e *FormatError) Unwrap() error { return e.Err }

// formatErrorf returns a *FormatError with the offset and a formatted description.
func formatErrorf(offset int64, format string, args ...any) error {
	return &FormatError{Offset: offset, Err: fmt.Errorf(format, args...)}
}
