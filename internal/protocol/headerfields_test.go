package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// readMessageHead reads the head of a message without parsing its start line.
func readMessageHead(br *bufio.Reader, g grammar, memory Memory) (messageHead, error) {
	lines := newSection(br, g, memory)
	if _, err := lines.nextLine(); err != nil {
		return messageHead{}, err
	}
	fields, err := lines.readFields()
	return messageHead{fields: fields}, err
}

// Heads of very many short fields must not take many times their size, because hundreds of clients may send one each. Reading one
// allocates the text while it grows and once as a string.
func TestHeadsOfManyFieldsTakeLittleMemory(t *testing.T) {
	const maxAllocated = 6 * MaxHead
	for name, line := range map[string]func(i int) string{
		"same name":      func(int) string { return "a:\r\n" },
		"distinct names": func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
	} {
		for _, g := range []grammar{strictGrammar, tolerantGrammar} {
			var text strings.Builder
			text.WriteString("GET / HTTP/1.1\r\n")
			for i := 0; text.Len() < MaxHead-20; i++ {
				text.WriteString(line(i))
			}
			text.WriteString("\r\n")
			br := bufio.NewReader(strings.NewReader(text.String()))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			head, err := readMessageHead(br, g, nil)
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; err != nil || len(head.fields) > 0 || allocated > maxAllocated {
				t.Errorf("head of %d bytes, %s, grammar %d: %d bytes allocated, %d fields kept, error %v; want at most %d bytes, no field, no error",
					text.Len(), name, g, allocated, len(head.fields), err, maxAllocated)
			}
		}
	}
}

// Fields of known names must be found in any case, with all their values, and their number must be bounded.
func TestKnownFieldsAreKept(t *testing.T) {
	text := "GET / HTTP/1.1\r\nX: 1\r\nHOST: a\r\ncontent-LENGTH: 2\r\nConnection: x\r\nConnection: close\r\n\r\n"
	head, err := readMessageHead(bufio.NewReader(strings.NewReader(text)), strictGrammar, nil)
	if err != nil || head.fields.get(headerHost) != "a" || head.fields.get(headerContentLength) != "2" ||
		strings.Join(head.fields.values(headerConnection), "|") != "x|close" || head.fields.get(headerDate) != "" {
		t.Errorf("fields of %q = %v, error %v; want Host a, Content-Length 2, Connection x and close", text, head.fields, err)
	}
	for count, want := range map[int]error{maxKnownFields: nil, maxKnownFields + 1: errTooManyFields} {
		text := "GET / HTTP/1.1\r\n" + strings.Repeat("Expect: x\r\n", count) + "\r\n"
		if _, err := readMessageHead(bufio.NewReader(strings.NewReader(text)), strictGrammar, nil); !errors.Is(err, want) {
			t.Errorf("head with %d fields of a known name: error %v, want %v", count, err, want)
		}
	}
}

// Protects against clients whose malformed heads cost the node a whole head's time each: the first malformed line decides, so nothing
// behind the piece with that line is read.
func TestMalformedHeadsAreRejectedAtTheFirstMalformedLine(t *testing.T) {
	const piece = 512 // bytes that one read returns
	for name, text := range map[string]string{
		"no HTTP":              strings.Repeat("\x00\xff\r\n", MaxHead/4),
		"other version":        "GET / HTTP/3.0\r\n" + strings.Repeat("X: a\r\n", MaxHead/8),
		"line without a colon": "GET / HTTP/1.1\r\n" + strings.Repeat("X\r\n", MaxHead/4),
		"control in a value":   "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: \x01\r\n", MaxHead/8),
	} {
		reader := &pieces{text: text, size: piece}
		_, _, err := readRequestHead(bufio.NewReaderSize(reader, piece), nil)
		if read := len(text) - len(reader.text); err == nil || errors.Is(err, ErrHeadTooLarge) || read > piece {
			t.Errorf("%s: error %v after %d bytes, want an error of the first malformed line after %d", name, err, read, piece)
		}
	}
}

// BenchmarkRequestHead measures usual heads, and heads whose parsing many clients may cause without a request.
func BenchmarkRequestHead(b *testing.B) {
	for _, c := range []struct{ name, text string }{
		{"usual", headWith("Content-Type: text/plain\r\nContent-Length: 4\r\n")},
		{"many-fields", headWith(strings.Repeat("a:\r\n", 3900))},
		{"noise", strings.Repeat("\x00\xff\r\n", MaxHead/4)},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := &source{text: c.text + "\r\n"}
				var request Request
				_ = ReadRequest(bufio.NewReaderSize(s, 2048), s, &request, nil) // the last two heads are invalid
			}
		})
	}
}
