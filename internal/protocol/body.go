package protocol

import (
	"errors"
	"io"
)

// MaxBody is the most bytes that a body may have, of a request or a response.
const MaxBody = 64 << 10

var errBodyTooLarge = errors.New("body too large")

// readBody appends a body to buf[:0], up to one byte more than MaxBody, with which it returns errBodyTooLarge.
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
