package protocol

// contentLengthPrefix is the beginning of a Content-Length line, in lower case.
const contentLengthPrefix = "content-length:"

// ContentLengthScanner counts the Content-Length lines in the head of a message. net/http's parser drops them if the body is
// chunked, and merges equal ones. Several lengths allow request smuggling (RFC 9112, section 11.2). The zero value is ready
// for the first byte of a message.
type ContentLengthScanner struct {
	count    int
	matched  int  // number of bytes of the current line that match contentLengthPrefix
	decided  bool // whether the current line is known to be a Content-Length line or another one
	started  bool // whether the current line has a byte
	complete bool // whether the head has ended
}

// Scan scans the next bytes of the message. Bytes after the head are ignored.
func (s *ContentLengthScanner) Scan(p []byte) {
	for _, c := range p {
		switch {
		case s.complete:
			return
		case c == '\n':
			s.complete = !s.started
			s.matched, s.decided, s.started = 0, false, false
		case c == '\r':
		default:
			s.started = true
			s.match(c)
		}
	}
}

// match compares the next byte of the current line with contentLengthPrefix.
func (s *ContentLengthScanner) match(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.decided || c != contentLengthPrefix[s.matched] {
		s.decided = true
		return
	}
	if s.matched++; s.matched == len(contentLengthPrefix) {
		s.count++
		s.decided = true
	}
}

// Count returns the number of Content-Length lines scanned so far.
func (s *ContentLengthScanner) Count() int { return s.count }
