package simproto

import (
	"encoding/binary"
	"math"
)

// Cursor walks over the records of a batch, or over the fields of one record. The first error sticks: later reads
// return zero values, so that a caller reads all fields of a record and then checks Err once.
type Cursor struct {
	data     []byte
	position int
	base     int64 // offset of data in the whole input
	err      error
}

// Err is the first error met, a FormatError, or nil.
func (c *Cursor) Err() error { return c.err }

// More tells whether bytes are left to read.
func (c *Cursor) More() bool { return c.err == nil && c.position < len(c.data) }

// Offset is the cursor's place in the whole input, in bytes.
func (c *Cursor) Offset() int64 { return c.base + int64(c.position) }

// Record returns the code of the next record and a cursor over its fields.
func (c *Cursor) Record() (EventCode, *Cursor, error) {
	start := c.Offset()
	code := EventCode(c.Uint8())
	size := int(c.Uint32())
	if c.err != nil {
		return 0, nil, formatErrorf(start, "record header cut off")
	}
	if left := len(c.data) - c.position; size > left {
		return 0, nil, formatErrorf(start, "record %d states %d bytes, the frame has %d left", code, size, left)
	}
	fields := &Cursor{data: c.data[c.position : c.position+size], base: c.Offset()}
	c.position += size
	return code, fields, nil
}

// take returns the next n bytes, or nil.
func (c *Cursor) take(n int) []byte {
	if left := len(c.data) - c.position; c.err == nil && n > left {
		c.err = formatErrorf(c.Offset(), "%d bytes wanted, %d left in the record", n, left)
	}
	if c.err != nil {
		return nil
	}
	c.position += n
	return c.data[c.position-n : c.position]
}

// Uint8 reads one byte.
func (c *Cursor) Uint8() uint8 {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

// Uint16 reads two bytes.
func (c *Cursor) Uint16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// Uint32 reads four bytes.
func (c *Cursor) Uint32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// Uint64 reads eight bytes.
func (c *Cursor) Uint64() uint64 {
	if b := c.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// Float32 reads a number of four bytes.
func (c *Cursor) Float32() float64 { return float64(math.Float32frombits(c.Uint32())) }

// Bytes reads n bytes. They are valid until the next batch is read.
func (c *Cursor) Bytes(n uint32) []byte { return c.take(int(n)) }

// Float32s reads a count of one byte and so many numbers. It returns them in the room of buffer.
func (c *Cursor) Float32s(buffer []float64) []float64 {
	buffer = buffer[:0]
	for n := c.Uint8(); n > 0 && c.err == nil; n-- {
		buffer = append(buffer, c.Float32())
	}
	return buffer
}
