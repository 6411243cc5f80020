package decision

import (
	"encoding/binary"
	"math"
)

// peerMessage is a message that waits to be sent.
type peerMessage struct {
	to      int
	payload []byte
}

// message is one between peers, by its mark: use, what was asked and passed (which may be below 0) of
// customers since the last; an ask for one ticket; the home's answer, or its word on all tickets; or doubts.
type message struct {
	kind       byte
	reports    []customerReport
	suspicions []suspicion
}

// customerReport is one customer with its plan and set, which the receiver may not know.
type customerReport struct {
	key                     uint64
	demand, use             float64
	plan, spread, firstNode int
	request                 uint32       // asks and answers: the ticket
	class                   int          // asks
	ended                   int          // use: 1 where the ticket has ended
	verdict                 ownerVerdict // answers
	freePass                bool         // answers
}

// suspicion is a server's band that a peer lets rest, and for how much longer.
type suspicion struct {
	server     uint32
	class      int
	ejectedFor Time
}

const (
	kindUse       = 0xC8
	kindGrant     = 0xC9
	kindSuspicion = 0xCA
	kindAsk       = 0xCB
	maxReported   = math.MaxUint32
)

func appendReport(b []byte, t customerReport) []byte {
	b = binary.AppendUvarint(b, t.key)
	b = binary.AppendUvarint(b, uint64(min(max(0, t.demand*100+0.5), maxReported))) // in hundredths
	b = binary.AppendVarint(b, int64(min(max(-maxReported, t.use*100), maxReported)))
	b = binary.AppendUvarint(b, uint64(t.plan))
	b = binary.AppendUvarint(b, uint64(t.spread))
	b = binary.AppendUvarint(b, uint64(t.firstNode))
	b = binary.AppendUvarint(b, uint64(t.request))
	b = binary.AppendUvarint(b, uint64(t.class))
	b = binary.AppendUvarint(b, uint64(t.ended))
	said := uint64(t.verdict) << 1
	if t.freePass {
		said |= 1
	}
	return binary.AppendUvarint(b, said)
}

func appendSuspicion(b []byte, d suspicion) []byte {
	b = binary.AppendUvarint(b, uint64(d.server))
	b = binary.AppendUvarint(b, uint64(d.class))
	return binary.AppendUvarint(b, uint64(d.ejectedFor))
}

// decodeMessage reads a whole message or nothing of it.
func decodeMessage(b []byte, plans, nodes int) (m message, ok bool) {
	if len(b) < 1 || b[0] < kindUse || b[0] > kindAsk {
		return m, false
	}
	m.kind, b, ok = b[0], b[1:], true
	number := func(most uint64) uint64 {
		v, k := binary.Uvarint(b)
		if k <= 0 || v > most {
			ok, b = false, nil
			return 0
		}
		b = b[k:]
		return v
	}
	for ok && len(b) > 0 {
		if m.kind == kindSuspicion {
			d := suspicion{uint32(number(maxReported)), int(number(maxReported)), Time(number(maxReported))}
			m.suspicions = append(m.suspicions, d)
			continue
		}
		t := customerReport{key: number(math.MaxUint64), demand: float64(number(maxReported)) / 100}
		v := number(2*maxReported + 1) // zigzag, as AppendVarint writes it
		t.use = float64(int64(v>>1)^-int64(v&1)) / 100
		t.plan, t.spread, t.firstNode = int(number(maxReported)), int(number(maxReported)), int(number(maxReported))
		t.request, t.class, t.ended = uint32(number(maxReported)), int(number(maxReported)), int(number(maxReported))
		said := number(uint64(verdictDenied)<<1 | 1)
		t.verdict, t.freePass = ownerVerdict(said>>1), said&1 == 1
		ok = ok && t.plan < plans && t.spread >= 1 && t.spread <= nodes && t.firstNode < nodes
		m.reports = append(m.reports, t)
	}
	return m, ok
}
