package simproto

import (
	"encoding/binary"
	"math"
)

// Cursor reads the fields of a record in order. It keeps the first error. After an error all reads return zero values, so a
// caller can read all fields and then check Err once. A Cursor is not safe for concurrent use.
type Cursor struct {
	data     []byte // bytes of the record
	position int    // index of the next byte in data
	base     int64  // offset of data in the whole input
	err      error  // first error, a *FormatError, or nil
}

// Err returns the first error, a *FormatError, or nil.
func (c *Cursor) Err() error { return c.err }

// More reports whether there are bytes to read and there was no error.
func (c *Cursor) More() bool { return c.err == nil && c.position < len(c.data) }

// Offset returns the offset of the next byte in the whole input.
func (c *Cursor) Offset() int64 { return c.base + int64(c.position) }

// take returns the next n bytes, or nil after an error.
func (c *Cursor) take(n int) []byte {
	if left := len(c.data) - c.position; c.err == nil && n > left {
		c.err = formatErrorf(c.Offset(), "field needs %d bytes, but the record has %d left", n, left)
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

// Float32 reads a floating-point number of four bytes (IEEE 754).
func (c *Cursor) Float32() float64 { return float64(math.Float32frombits(c.Uint32())) }

// Bytes reads n bytes. They are valid until the next call of Reader.Next.
func (c *Cursor) Bytes(n uint32) []byte { return c.take(int(n)) }

// Float32s reads a count of one byte and then that many floating-point numbers. It appends them to buffer[:0].
func (c *Cursor) Float32s(buffer []float64) []float64 {
	buffer = buffer[:0]
	for n := c.Uint8(); n > 0 && c.err == nil; n-- {
		buffer = append(buffer, c.Float32())
	}
	return buffer
}
