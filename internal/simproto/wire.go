// Package simproto is the codec of the simulator's binary protocol: it cuts frames into records,
// reads their fields and writes replies. It knows layouts only and decides nothing.
package simproto

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Codes of the events that the simulator sends.
const (
	EvRequest = 1
	EvFleet   = 2
	EvPeer    = 3
	EvLapsed  = 4
	EvTallied = 5
	EvStarted = 6
	EvEnded   = 7
	EvKill    = 8
	EvEcho    = 9
	EvElapsed = 10
	EvBegin   = 11
)

// Codes of the actions that a reply carries.
const (
	ActRefuse    = 1
	ActRecall    = 2
	ActWritePeer = 3
	ActNoteDown  = 4
	ActReload    = 5
	ActStream    = 6
	ActRelease   = 7
	ActFault     = 8
	ActSurrender = 9
	ActPassOn    = 10
	ActPost      = 11
	ActSample    = 12
	ActWakeAt    = 13
)

const frameHeader = 12

// Frames reads batches from a stream and counts the bytes, so that an error can name its place.
type Frames struct {
	r   *bufio.Reader
	at  int64
	buf []byte
}

// NewFrames reads from r.
func NewFrames(r io.Reader) *Frames { return &Frames{r: bufio.NewReaderSize(r, 1<<16)} }

// Next returns the clock of the next batch in microseconds and a cursor over its records. A clean
// end of input is io.EOF. The cursor is good until the next call.
func (f *Frames) Next() (uint64, *Cursor, error) {
	var h [frameHeader]byte
	n, err := io.ReadFull(f.r, h[:])
	if err == io.EOF {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("byte %d: frame header cut off after %d bytes", f.at, n)
	}
	size := int(binary.LittleEndian.Uint32(h[:]))
	start := f.at
	f.at += frameHeader
	f.buf = f.buf[:0]
	// The stated size is not trusted for an allocation: the buffer grows as bytes arrive.
	for len(f.buf) < size {
		have := len(f.buf)
		step := min(size-have, 1<<20)
		if cap(f.buf) < have+step {
			grown := make([]byte, have, max(have+step, 2*cap(f.buf)))
			copy(grown, f.buf)
			f.buf = grown
		}
		f.buf = f.buf[:have+step]
		got, err := io.ReadFull(f.r, f.buf[have:])
		if err != nil {
			return 0, nil, fmt.Errorf("byte %d: frame at byte %d states %d bytes, input ends early",
				f.at+int64(have+got), start, size)
		}
	}
	c := &Cursor{b: f.buf, base: f.at}
	f.at += int64(size)
	return binary.LittleEndian.Uint64(h[4:]), c, nil
}

// Cursor walks over the records of a batch, or over the fields of one record. The first error
// sticks, and the reads after it return zeros.
type Cursor struct {
	b    []byte
	pos  int
	base int64
	err  error
}

// Err is the first error met.
func (c *Cursor) Err() error { return c.err }

// More tells whether bytes are left.
func (c *Cursor) More() bool { return c.err == nil && c.pos < len(c.b) }

// At is the place of the cursor in the whole input.
func (c *Cursor) At() int64 { return c.base + int64(c.pos) }

// Record returns the code of the next record and a cursor over its fields.
func (c *Cursor) Record() (byte, *Cursor, error) {
	at := c.At()
	code := c.U8()
	size := int(c.U32())
	if c.err != nil {
		return 0, nil, fmt.Errorf("byte %d: record header cut off", at)
	}
	if size > len(c.b)-c.pos {
		return 0, nil, fmt.Errorf("byte %d: record %d states %d bytes, the frame has %d left",
			at, code, size, len(c.b)-c.pos)
	}
	r := &Cursor{b: c.b[c.pos : c.pos+size], base: c.At()}
	c.pos += size
	return code, r, nil
}

func (c *Cursor) take(n int) []byte {
	if c.err == nil && n > len(c.b)-c.pos {
		c.err = fmt.Errorf("byte %d: %d bytes wanted, %d left in the record", c.At(), n, len(c.b)-c.pos)
	}
	if c.err != nil {
		return nil
	}
	c.pos += n
	return c.b[c.pos-n : c.pos]
}

// U8 reads one byte.
func (c *Cursor) U8() byte {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

// U16 reads two bytes.
func (c *Cursor) U16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// U32 reads four bytes.
func (c *Cursor) U32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// U64 reads eight bytes.
func (c *Cursor) U64() uint64 {
	if b := c.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// F32 reads a float of four bytes.
func (c *Cursor) F32() float64 { return float64(math.Float32frombits(c.U32())) }

// Bytes reads n bytes, which are good until the next batch.
func (c *Cursor) Bytes(n uint32) []byte { return c.take(int(n)) }

// Floats reads a count byte and that many floats into dst.
func (c *Cursor) Floats(dst []float64) []float64 {
	dst = dst[:0]
	for n := int(c.U8()); n > 0 && c.err == nil; n-- {
		dst = append(dst, c.F32())
	}
	return dst
}

// Reply gathers the records of one reply.
type Reply struct {
	b     []byte
	n     uint32
	start int
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.b = append(r.b[:0], make([]byte, 8)...)
	r.n = 0
}

// Open starts a record for an instance; the fields follow, then Close.
func (r *Reply) Open(code byte, inst uint16) *Reply {
	r.start = len(r.b)
	r.b = append(r.b, code, 0, 0, 0, 0)
	return r.U16(inst)
}

// U8 writes one byte.
func (r *Reply) U8(v byte) *Reply { r.b = append(r.b, v); return r }

// U16 writes two bytes.
func (r *Reply) U16(v uint16) *Reply { r.b = binary.LittleEndian.AppendUint16(r.b, v); return r }

// U32 writes four bytes.
func (r *Reply) U32(v uint32) *Reply { r.b = binary.LittleEndian.AppendUint32(r.b, v); return r }

// Text writes a length of two bytes and the bytes, cut to what the length can state.
func (r *Reply) Text(p []byte) *Reply {
	p = p[:min(len(p), math.MaxUint16)]
	r.U16(uint16(len(p)))
	r.b = append(r.b, p...)
	return r
}

// Close ends the record.
func (r *Reply) Close() {
	binary.LittleEndian.PutUint32(r.b[r.start+1:], uint32(len(r.b)-r.start-5))
	r.n++
}

// Finish returns the bytes of the whole reply.
func (r *Reply) Finish() []byte {
	binary.LittleEndian.PutUint32(r.b, uint32(len(r.b)-8))
	binary.LittleEndian.PutUint32(r.b[4:], r.n)
	return r.b
}
