package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// readFramedRequest reads a request, with the length of its body, from text that arrives in pieces of size bytes.
func readFramedRequest(text string, size int) (bodyLength, error) {
	head, _, err := readRequestHead(bufio.NewReaderSize(&pieces{text: text, size: size}, 16), nil)
	if err != nil {
		return 0, err
	}
	return head.statedLength()
}

// pieces is a reader that returns at most size bytes at a time.
type pieces struct {
	text string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.text)
	p.text = p.text[n:]
	return n, nil
}

// headCases are heads of requests with the lengths or errors that they have in the strict grammar.
var headCases = []struct {
	name, text string
	want       bodyLength
	wantErr    error
}{
	{"none", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", lengthUnstated, nil},
	{"one", "GET / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", 4, nil},
	{"two", "GET / HTTP/1.1\r\nContent-Length: 4\r\nHost: a\r\nContent-Length: 5\r\n\r\n", 0, errLengthsDiffer},
	{"mixed case", "GET / HTTP/1.1\r\ncOnTeNt-lEnGtH:4\r\n\r\n", 4, nil},
	{"leading zeros", "GET / HTTP/1.1\r\nContent-Length: 004\r\n\r\n", 4, nil},
	{"tabs around the value", "GET / HTTP/1.1\r\nContent-Length:\t4 \t\r\n\r\n", 4, nil},
	{"without a value", "GET / HTTP/1.1\r\ncontent-length:\r\n\r\n", 0, errLengthMalformed},
	{"list", "GET / HTTP/1.1\r\nContent-Length: 4, 4\r\n\r\n", 0, errLengthMalformed},
	{"sign", "GET / HTTP/1.1\r\nContent-Length: +4\r\n\r\n", 0, errLengthMalformed},
	{"negative", "GET / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", 0, errLengthMalformed},
	{"hexadecimal", "GET / HTTP/1.1\r\nContent-Length: 0x4\r\n\r\n", 0, errLengthMalformed},
	{"over 63 bits", "GET / HTTP/1.1\r\nContent-Length: 9223372036854775808\r\n\r\n", 0, errLengthMalformed},
	{"over 64 bits", "GET / HTTP/1.1\r\nContent-Length: 18446744073709551620\r\n\r\n", 0, errLengthMalformed},
	{"longer name", "GET / HTTP/1.1\r\nContent-Lengths: 4\r\nX-Content-Length: 4\r\n\r\n", lengthUnstated, nil},
	{"underscore for a hyphen", "GET / HTTP/1.1\r\nContent_Length: 4\r\n\r\n", 0, errFieldResemblance},
	{"underscore in the other header", "GET / HTTP/1.1\r\nContent-Length: 4\r\ntransfer_encoding: chunked\r\n\r\n", 0, errFieldResemblance},
	{"underscore in an unrelated name", "GET / HTTP/1.1\r\nX_Content_Length: 4\r\n\r\n", lengthUnstated, nil},
	{"space before the colon", "GET / HTTP/1.1\r\nContent-Length : 4\r\n\r\n", 0, errFieldName},
	{"tab before the colon", "GET / HTTP/1.1\r\nContent-Length\t: 4\r\n\r\n", 0, errFieldName},
	{"space before the first name", "GET / HTTP/1.1\r\n Content-Length: 4\r\n\r\n", 0, errFieldName},
	{"folded line", "GET / HTTP/1.1\r\nHost: a\r\n\tContent-Length: 4\r\n\r\n", 0, errFieldName},
	{"folded line without a colon", "GET / HTTP/1.1\r\nContent-Length:\r\n 4\r\n\r\n", 0, errFieldName},
	{"no name", "GET / HTTP/1.1\r\n: 4\r\n\r\n", 0, errFieldName},
	{"no colon", "GET / HTTP/1.1\r\nContent-Length\r\n\r\n", 0, errFieldName},
	{"control in the name", "GET / HTTP/1.1\r\nContent-Length\x00: 4\r\n\r\n", 0, errFieldName},
	{"control in a value", "GET / HTTP/1.1\r\nX: a\x00\r\n\r\n", 0, errFieldValue},
	{"CR in a value", "GET / HTTP/1.1\r\nX: a\rContent-Length: 4\r\n\r\n", 0, errFieldValue},
	{"two CR before LF", "GET / HTTP/1.1\r\nContent-Length: 4\r\r\n\r\n", 0, errFieldValue},
	{"line that ends with LF", "GET / HTTP/1.1\r\nX: a\nContent-Length: 4\r\n\r\n", 0, errLineEnd},
	{"head that ends with LF", "GET / HTTP/1.1\r\nHost: a\r\n\nGET /b HTTP/1.1\r\n\r\n", 0, errLineEnd},
	{"head that ends with CR CR LF", "GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n", 0, errFieldName},
	{"name in a header's value", "GET / HTTP/1.1\r\nX: content-length:\r\n\r\n", lengthUnstated, nil},
	{"after the head", "GET / HTTP/1.1\r\n\r\nContent-Length: 4\r\n", lengthUnstated, nil},
	{"chunks", "GET / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n", lengthChunked, nil},
	{"chunks and a length", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", 0, errLengthRepeated},
	{"unknown coding and a length", "GET / HTTP/1.1\r\nTransfer-Encoding: x\r\nContent-Length: 4\r\n\r\n", 0, errLengthRepeated},
	{"chunks and a length in HTTP/1.0", "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", 0, errLengthRepeated},
	{"chunks in HTTP/1.0", "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 0, errCodingVersion},
	{"unknown coding", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n", 0, errCodingUnknown},
	{"parameter of chunks", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked;a=b\r\n\r\n", 0, errCodingUnknown},
	{"empty coding", "GET / HTTP/1.1\r\nTransfer-Encoding:\r\n\r\n", 0, errCodingUnknown},
	{"two codings", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 0, errCodingUnknown},
	{"HTTP/0.9", "GET / HTTP/0.9\r\nContent-Length: 4\r\n\r\n", 0, errVersion},
	{"HTTP/2.0", "GET / HTTP/2.0\r\nContent-Length: 4\r\n\r\n", 0, errVersion},
	{"two spaces in the request line", "GET /  HTTP/1.1\r\n\r\n", 0, errStartLine},
	{"no version", "GET /\r\n\r\n", 0, errStartLine},
	{"method that is no token", "G@T / HTTP/1.1\r\n\r\n", 0, errStartLine},
	{"head over the limit", "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", MaxHead) + "\r\n\r\n", 0, ErrHeadTooLarge},
	{"head without an end", "GET / HTTP/1.1\r\nContent-Length: 4\r\n", 0, io.EOF},
}

// Protects against request smuggling: a head that recipients delimit differently must not be accepted, and an unambiguous one
// must keep its length. The result must not depend on the pieces in which the bytes of a head arrive.
func TestStatedLengthOfRequests(t *testing.T) {
	for _, c := range headCases {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= min(len(c.text), 99); size++ { // size is the number of bytes of each piece.
				if got, err := readFramedRequest(c.text, size); got != c.want || !errors.Is(err, c.wantErr) {
					t.Errorf("length %d (error %v) in pieces of %d bytes, want %d and error %v", got, err, size, c.want, c.wantErr)
				}
			}
		})
	}
}

// Protects against a spelling of a head that one reading takes for a length and another for an unknown header. Of all
// combinations of two spellings, only those may be accepted that state one length in the exact grammar.
func TestSpellingsOfTwoLengthsAreRejected(t *testing.T) {
	const exact = "%s: %s\r\n"
	spellings := []string{
		exact, "%s:%s\r\n", "%s : %s\r\n", "%s\t: %s\r\n", " %s: %s\r\n", "X: a\r\n %s: %s\r\n", "%s:\r\n %s\r\n", "X: a\n%s: %s\r\n",
		"X: a\r%s: %s\r\n", "%s\x0b: %s\r\n", "%s\xa0: %s\r\n", "\x00%s: %s\r\n", "%s:\x0b%s\r\n", "%s: %s\n", "%s: %s\r\r\n", "%s: %s\x00\r\n",
	}
	fields := []struct{ name, value string }{
		{"Content-Length", "4"}, {"content-length", "5"}, {"Transfer-Encoding", "chunked"}, {"TRANSFER-ENCODING", "identity"},
	}
	for _, version := range []string{"1.0", "1.1", "1.2"} {
		for _, first := range spellings {
			for _, second := range spellings {
				for i, a := range fields {
					for j, b := range fields {
						text := "POST / HTTP/" + version + "\r\n" + fmt.Sprintf(first, a.name, a.value) + fmt.Sprintf(second, b.name, b.value) + "\r\n"
						length, err := readFramedRequest(text, len(text))
						equalLengths := i == j && i < 2 // ReadRequest rejects them; TestRequestWireFormat covers that
						if err == nil && !equalLengths {
							t.Errorf("head %q: length %d, want an error", text, length)
						}
					}
				}
			}
		}
	}
}

// Protects against a body that ends before or after its framing does, so that the rest is read as another message. Every
// malformed chunk and trailer section is an error.
func TestChunkedBodyEndsAtItsTrailer(t *testing.T) {
	for _, c := range []struct{ name, text, body, rest string }{
		{"no trailer", "2\r\nok\r\n0\r\n\r\nrest", "ok", "rest"},
		{"trailer", "2\r\nok\r\n0\r\nX-Sum: 1\r\nX-More:\r\n\r\nrest", "ok", "rest"},
		{"long trailer", "0\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\nrest", "", "rest"},
		{"extension", "2;a=\"b\"\r\nok\r\n0;c\r\n\r\nrest", "ok", "rest"},
		{"leading zeros", "0002\r\nok\r\n000\r\n\r\nrest", "ok", "rest"},
	} {
		br := bufio.NewReaderSize(strings.NewReader(c.text), 64)
		body, err := io.ReadAll(bodyReader(br, lengthChunked, nil))
		rest, _ := io.ReadAll(br)
		if string(body) != c.body || err != nil || string(rest) != c.rest {
			t.Errorf("%s: body %q, error %v, rest %q; want body %q and rest %q", c.name, body, err, rest, c.body, c.rest)
		}
	}
	for name, text := range map[string]string{
		"no last chunk":                 "2\r\nok\r\n",
		"no trailer section":            "2\r\nok\r\n0\r\n",
		"LF after a size":               "2\nok\r\n0\r\n\r\n",
		"LF after a chunk":              "2\r\nok\n0\r\n\r\n",
		"LF after the last chunk":       "0\r\n\nGET /b HTTP/1.1\r\n\r\n",
		"LF in the trailer":             "0\r\nX: a\n\nGET /b HTTP/1.1\r\n\r\n",
		"space before a trailer's name": "0\r\n X: a\r\n\r\n",
		"space after a trailer's name":  "0\r\nX : a\r\n\r\n",
		"chunk longer than its size":    "2\r\nokay\r\n0\r\n\r\n",
		"size with a sign":              "+2\r\nok\r\n0\r\n\r\n",
		"size in 0x form":               "0x2\r\nok\r\n0\r\n\r\n",
		"empty size":                    "\r\nok\r\n0\r\n\r\n",
		"size over 64 bits":             "10000000000000002\r\nok\r\n0\r\n\r\n",
		"space before a size":           " 2\r\nok\r\n0\r\n\r\n",
	} {
		if body, err := io.ReadAll(bodyReader(bufio.NewReader(strings.NewReader(text)), lengthChunked, nil)); err == nil {
			t.Errorf("%s: body %q without an error, want an error", name, body)
		}
	}
}
