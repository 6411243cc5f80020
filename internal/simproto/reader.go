package simproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

const (
	// readBufferBytes is the size of the read buffer, in bytes.
	readBufferBytes = 1 << 16
	// maxGrowthBytes is the maximum number of bytes of a batch that the reader allocates memory for before it reads them.
	maxGrowthBytes = 1 << 20
)

// Reader reads batches from a stream. It is not safe for concurrent use.
type Reader struct {
	in     *bufio.Reader
	offset int64  // number of bytes read so far, for the offsets in errors
	body   []byte // records of the current batch; the next batch reuses the memory
}

// Batch contains the events of one point in time.
type Batch struct {
	ClockMicros uint64   // simulated time, in microseconds
	Records     *Records // valid until the next call of Reader.Next
}

// NewReader returns a Reader of the batches in a stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)} }

// Next reads the next batch. At the end of the input it returns io.EOF. If the input ends within a batch, the error is a
// *FormatError.
func (r *Reader) Next() (Batch, error) {
	var header [batchHeaderSize]byte
	got, err := io.ReadFull(r.in, header[:])
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, formatErrorf(r.offset, "batch header is truncated after %d bytes", got)
	}
	start := r.offset
	r.offset += batchHeaderSize
	size := int(binary.LittleEndian.Uint32(header[:]))
	if got, err := r.readBody(size); err != nil {
		return Batch{}, formatErrorf(r.offset+int64(got), "batch at byte %d states %d bytes of records, but the input ends early", start, size)
	}
	records := &Records{cursor: Cursor{data: r.body, base: r.offset}}
	r.offset += int64(size)
	return Batch{ClockMicros: binary.LittleEndian.Uint64(header[4:]), Records: records}, nil
}

// readBody reads size bytes into r.body and returns the number of bytes read. The buffer grows with the input, because the
// stated size may be wrong.
func (r *Reader) readBody(size int) (int, error) {
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		step := min(size-have, maxGrowthBytes)
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
