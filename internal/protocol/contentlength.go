package protocol

// lengthName is what a line of a head that gives a length starts with, in small letters.
const lengthName = "content-length:"

// ContentLengthScanner counts the Content-Length lines of a head as its bytes pass, since the parser that follows tells of
// none where the body is chunked. The zero value is ready for a message.
type ContentLengthScanner struct {
	lines    int
	matched  int  // bytes of the line under way that are as in the name
	other    bool // the line under way is another, or is counted
	started  bool // the line under way has a byte
	complete bool // the head has ended
}

// Scan looks at the next bytes.
func (s *ContentLengthScanner) Scan(p []byte) {
	for _, c := range p {
		switch {
		case s.complete:
			return
		case c == '\n':
			s.complete = !s.started
			s.matched, s.other, s.started = 0, false, false
		case c == '\r':
		default:
			s.started = true
			s.match(c)
		}
	}
}

// match compares a byte of a line with the name.
func (s *ContentLengthScanner) match(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.other || c != lengthName[s.matched] {
		s.other = true
		return
	}
	if s.matched++; s.matched == len(lengthName) {
		s.lines++
		s.other = true
	}
}

// Count is how many lines there were.
func (s *ContentLengthScanner) Count() int { return s.lines }
