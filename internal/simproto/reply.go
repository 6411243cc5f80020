package simproto

import (
	"encoding/binary"
	"math"
)

// Reply builds the answer to one batch: Reset, then for each action Begin, its fields and End, then Finish. The buffer
// is used again for the next batch.
type Reply struct {
	data        []byte
	records     uint32
	recordStart int // of the record that Begin opened
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.data = append(r.data[:0], make([]byte, replyHeaderSize)...)
	r.records = 0
}

// Begin starts an action of an instance. Its fields follow, then End.
func (r *Reply) Begin(code ActionCode, instance uint16) *Reply {
	r.recordStart = len(r.data)
	r.data = append(r.data, byte(code), 0, 0, 0, 0)
	return r.Uint16(instance)
}

// Uint8 writes one byte.
func (r *Reply) Uint8(v uint8) *Reply { r.data = append(r.data, v); return r }

// Uint16 writes two bytes.
func (r *Reply) Uint16(v uint16) *Reply {
	r.data = binary.LittleEndian.AppendUint16(r.data, v)
	return r
}

// Uint32 writes four bytes.
func (r *Reply) Uint32(v uint32) *Reply {
	r.data = binary.LittleEndian.AppendUint32(r.data, v)
	return r
}

// Text writes a length of two bytes and the text, which is cut to what the length can state.
func (r *Reply) Text(text []byte) *Reply {
	text = text[:min(len(text), math.MaxUint16)]
	r.Uint16(uint16(len(text)))
	r.data = append(r.data, text...)
	return r
}

// End closes the action that Begin started.
func (r *Reply) End() {
	size := len(r.data) - r.recordStart - recordHeaderSize
	binary.LittleEndian.PutUint32(r.data[r.recordStart+1:], uint32(size))
	r.records++
}

// Finish returns the bytes of the whole reply, valid until the next Reset.
func (r *Reply) Finish() []byte {
	binary.LittleEndian.PutUint32(r.data, uint32(len(r.data)-replyHeaderSize))
	binary.LittleEndian.PutUint32(r.data[4:], r.records)
	return r.data
}
