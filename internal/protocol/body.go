package protocol

import (
	"errors"
	"io"
)

// MaxBody is the maximum size of the body of a request or response, in bytes.
const MaxBody = 64 << 10

// errBodyTooLarge is the error for a body over MaxBody. gRPC clients receive its text.
var errBodyTooLarge = errors.New("body too large")

// readBody reads a body and appends it to buf[:0]. After MaxBody+1 bytes it stops and returns errBodyTooLarge.
func readBody(r io.Reader, buf []byte) ([]byte, error) {
	buf = buf[:0]
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), MaxBody+1)])
		buf = buf[:len(buf)+n]
		if len(buf) > MaxBody {
			return buf, errBodyTooLarge
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}
