package protocol

const lengthName = "content-length:"

// ContentLengthScanner counts the Content-Length lines of a head as its bytes pass, since the parser that follows tells of
// none where the body is chunked. The zero value is ready for a message.
type ContentLengthScanner struct {
	n, at int // lines; bytes of the line under way that are as in the name
	other bool
	over  bool // the head has ended
	text  bool // the line under way has a byte
}

// Scan looks at the next bytes.
func (l *ContentLengthScanner) Scan(p []byte) {
	for _, c := range p {
		switch {
		case l.over:
			return
		case c == '\n':
			l.over = !l.text
			l.at, l.other, l.text = 0, false, false
		case c == '\r':
		default:
			if 'A' <= c && c <= 'Z' {
				c += 'a' - 'A'
			}
			l.text = true
			if l.other = l.other || c != lengthName[l.at]; !l.other {
				if l.at++; l.at == len(lengthName) {
					l.n, l.other = l.n+1, true
				}
			}
		}
	}
}

// Count is how many lines there were.
func (l *ContentLengthScanner) Count() int { return l.n }
