package protocol

// contentLengthPrefix is the beginning of a Content-Length line, in lower case.
const contentLengthPrefix = "content-length:"

// ContentLengthScanner counts the Content-Length lines in the head of a message. net/http's parser drops them if the body is
// chunked, and merges equal ones. Several lengths allow request smuggling (RFC 9112, section 11.2). The zero value is ready
// for the first byte of a message.
type ContentLengthScanner struct {
	count          int  // number of Content-Length lines so far
	matchedBytes   int  // number of leading bytes of the current line that match contentLengthPrefix
	lineClassified bool // true if the name of the current line is known to match or not to match
	lineNotEmpty   bool // true if the current line has a byte besides CR and LF
	headEnded      bool // true if the empty line after the head was scanned
}

// Scan scans the next bytes of the message. Bytes after the head are ignored.
func (s *ContentLengthScanner) Scan(p []byte) {
	for _, c := range p {
		switch {
		case s.headEnded:
			return
		case c == '\n':
			s.headEnded = !s.lineNotEmpty
			s.matchedBytes, s.lineClassified, s.lineNotEmpty = 0, false, false
		case c == '\r':
		default:
			s.lineNotEmpty = true
			s.match(c)
		}
	}
}

// match compares the next byte of the current line with contentLengthPrefix.
func (s *ContentLengthScanner) match(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.lineClassified || c != contentLengthPrefix[s.matchedBytes] {
		s.lineClassified = true
		return
	}
	if s.matchedBytes++; s.matchedBytes == len(contentLengthPrefix) {
		s.count++
		s.lineClassified = true
	}
}

// Count returns the number of Content-Length lines scanned so far.
func (s *ContentLengthScanner) Count() int { return s.count }
