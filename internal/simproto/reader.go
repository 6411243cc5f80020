package simproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

const (
	readBufferSize = 1 << 16
	maxGrowth      = 1 << 20 // bytes of a batch that are made room for before they have arrived
)

// Reader reads batches from a stream. It counts the bytes, so that an error can name its place.
type Reader struct {
	in     *bufio.Reader
	offset int64
	body   []byte // of the current batch; its room is used again
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferSize)} }

// Next returns the clock of the next batch in microseconds and a cursor over its records. The cursor is valid until
// the next call. A clean end of input is io.EOF, input that ends within a batch is a FormatError.
func (r *Reader) Next() (clock uint64, records *Cursor, err error) {
	var header [batchHeaderSize]byte
	got, err := io.ReadFull(r.in, header[:])
	if errors.Is(err, io.EOF) {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, formatErrorf(r.offset, "frame header cut off after %d bytes", got)
	}
	start := r.offset
	r.offset += batchHeaderSize
	size := int(binary.LittleEndian.Uint32(header[:]))
	if got, err := r.readBody(size); err != nil {
		return 0, nil, formatErrorf(r.offset+int64(got), "frame at byte %d states %d bytes, input ends early", start, size)
	}
	records = &Cursor{data: r.body, base: r.offset}
	r.offset += int64(size)
	return binary.LittleEndian.Uint64(header[4:]), records, nil
}

// readBody reads size bytes and tells how many there were. The stated size is not trusted for an allocation: the
// buffer grows as bytes arrive.
func (r *Reader) readBody(size int) (int, error) {
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		step := min(size-have, maxGrowth)
		if cap(r.body) < have+step {
			grown := make([]byte, have, max(have+step, 2*cap(r.body)))
			copy(grown, r.body)
			r.body = grown
		}
		r.body = r.body[:have+step]
		if got, err := io.ReadFull(r.in, r.body[have:]); err != nil {
			return have + got, err
		}
	}
	return size, nil
}
