package protocol

import "testing"

// A miscount would let a request with several lengths through, which allows request smuggling. The count must not depend on
// the pieces in which the bytes of a head arrive.
func TestContentLengthScannerCountsLines(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"none", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0},
		{"one", "GET / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", 1},
		{"two", "GET / HTTP/1.1\r\nContent-Length: 4\r\nHost: a\r\nContent-Length: 5\r\n\r\n", 2},
		{"mixed case", "GET / HTTP/1.1\ncOnTeNt-lEnGtH:4\n\n", 1},
		{"without a value", "GET / HTTP/1.1\r\ncontent-length:\r\n\r\n", 1},
		{"longer name", "GET / HTTP/1.1\r\nContent-Lengths: 4\r\nX-Content-Length: 4\r\n\r\n", 0},
		{"blank before the colon", "GET / HTTP/1.1\r\nContent-Length : 4\r\n\r\n", 0},
		{"name in a header's value", "GET / HTTP/1.1\r\nX: content-length:\r\n\r\n", 0},
		{"after the head", "GET / HTTP/1.1\r\n\r\nContent-Length: 4\r\n", 0},
		{"name without a colon", "GET / HTTP/1.1\r\nContent-Length", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.text); size++ { // size is the number of bytes of each piece.
				var s ContentLengthScanner
				for rest := c.text; rest != ""; {
					n := min(size, len(rest))
					s.Scan([]byte(rest[:n]))
					rest = rest[n:]
				}
				if s.Count() != c.want {
					t.Errorf("Count() = %d after a scan in pieces of %d bytes, want %d", s.Count(), size, c.want)
				}
			}
		})
	}
}
