package netio

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand"
	"net"
	"testing"
	"testing/quick"
	"time"

	"cherrygap/internal/protocol"
)

// fragmentedConn is a connection that reads in pieces of random sizes.
type fragmentedConn struct {
	net.Conn
	random *rand.Rand
	in     []byte
	out    bytes.Buffer
}

func (c *fragmentedConn) Read(p []byte) (int, error) {
	if len(c.in) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), 1+c.random.Intn(3000))], c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *fragmentedConn) Write(p []byte) (int, error) { return c.out.Write(p) }

func (c *fragmentedConn) SetReadDeadline(time.Time) error { return nil }

// TestRingBufferKeepsBytes guards against lost, repeated or reordered bytes in a ring buffer. Parsers read past the end of
// messages of random lengths, and EndMessage puts those bytes back.
func TestRingBufferKeepsBytes(t *testing.T) {
	if err := quick.Check(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		sent := make([]byte, 40000)
		random.Read(sent)
		conn := &fragmentedConn{random: random, in: sent}
		in, out := NewMessageBuffer(conn, conn, nil), NewRingBuffer(conn, MinBuffer)
		in.Allocate(MinBuffer)
		for in.Wait() == nil {
			in.Allow(1 + random.Intn(9000))
			parser := bufio.NewReaderSize(&in, ParserBuffer)
			got := make([]byte, 1+random.Intn(5000))
			n, err := io.ReadFull(parser, got)
			if err != nil && !errors.Is(err, protocol.ErrHeadTooLarge) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				return false
			}
			in.EndMessage(parser)
			if random.Intn(2) == 0 {
				out.Commit(append(out.AvailableBuffer(), got[:n]...))
			} else {
				out.Append(got[:n])
			}
		}
		return out.Flush() == nil && bytes.Equal(conn.out.Bytes(), sent)
	}, &quick.Config{MaxCount: 300}); err != nil {
		t.Errorf("bytes written from the ring buffer differ from the bytes read into it, or Flush failed: %v", err)
	}
}
