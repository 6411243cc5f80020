package simproto

import (
	"encoding/binary"
	"math"
)

// Reply builds the reply to a batch. The caller calls Reset, then Begin, the methods for the fields and End for each action,
// then Finish. The zero value is ready for Reset. A Reply is not safe for concurrent use.
type Reply struct {
	data        []byte // bytes of the reply; the next reply reuses the memory
	records     uint32 // number of actions so far
	recordStart int    // index of the current action in data
}

// Reset discards the actions and starts a new reply.
func (r *Reply) Reset() {
	r.data = append(r.data[:0], make([]byte, replyHeaderSize)...)
	r.records = 0
}

// Begin starts an action of an instance.
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

// Bytes writes the length of content as two bytes, and then content. It truncates content to math.MaxUint16 bytes.
func (r *Reply) Bytes(content []byte) *Reply {
	content = content[:min(len(content), math.MaxUint16)]
	r.Uint16(uint16(len(content)))
	r.data = append(r.data, content...)
	return r
}

// End completes the action that Begin started.
func (r *Reply) End() {
	size := len(r.data) - r.recordStart - recordHeaderSize
	binary.LittleEndian.PutUint32(r.data[r.recordStart+1:], uint32(size))
	r.records++
}

// Finish returns the bytes of the reply. They are valid until the next Reset.
func (r *Reply) Finish() []byte {
	binary.LittleEndian.PutUint32(r.data, uint32(len(r.data)-replyHeaderSize))
	binary.LittleEndian.PutUint32(r.data[4:], r.records)
	return r.data
}
