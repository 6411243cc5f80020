package simproto

// Record is an event record of a batch.
type Record struct {
	Code   EventCode
	Offset int64   // offset of the record's first byte in the whole input
	Fields *Cursor // cursor over the record's fields
}

// Records reads the records of a batch in order. It is not safe for concurrent use.
type Records struct {
	cursor Cursor // cursor over the records of the batch
}

// More reports whether there is another record and there was no error.
func (r *Records) More() bool { return r.cursor.More() }

// Offset returns the offset of the next record in the whole input.
func (r *Records) Offset() int64 { return r.cursor.Offset() }

// Next reads the next record. An error is a *FormatError.
func (r *Records) Next() (Record, error) {
	c := &r.cursor
	start := c.Offset()
	code := EventCode(c.Uint8())
	size := int(c.Uint32())
	if c.err != nil {
		return Record{}, formatErrorf(start, "record header is truncated")
	}
	if left := len(c.data) - c.position; size > left {
		return Record{}, formatErrorf(start, "record with code %d states %d bytes, but the batch has %d left", code, size, left)
	}
	fields := &Cursor{data: c.data[c.position : c.position+size], base: c.Offset()}
	c.position += size
	return Record{Code: code, Offset: start, Fields: fields}, nil
}
