package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Errors of a head or trailer section that does not follow the grammar of RFC 9112. Recipients that tolerate such a section
// read different messages from it.
var (
	errLineEnd    = errors.New("line does not end with CRLF")
	errStartLine  = errors.New("malformed start line")
	errFieldName  = errors.New("field name is not a token directly followed by a colon")
	errFieldValue = errors.New("field value contains a control character")
)

// lineEnd ends each line of a head and of a trailer section.
const lineEnd = "\r\n"

// messageHead is the head of an HTTP/1.x message.
type messageHead struct {
	startLine    string
	header       http.Header // fields under canonical names, with values in the order of the lines
	minorVersion int         // minor HTTP version; set by the parser of the start line
}

// readMessageHead reads the head of a message, without parsing the start line. It accepts only the grammar that RFC 9112
// prescribes for senders: lines end with CRLF (section 2.2), field names are tokens that the colon follows directly (section
// 5.1), and no field extends over several lines (section 5.2). A head over MaxHead gives ErrHeadTooLarge. Other errors are one
// of the errors above or an error of br's reader.
func readMessageHead(br *bufio.Reader) (messageHead, error) {
	lines, err := readSection(br)
	if err != nil {
		return messageHead{}, err
	}
	startLine, fields, _ := strings.Cut(lines, lineEnd)
	header, err := parseFields(fields)
	return messageHead{startLine: startLine, header: header}, err
}

// readSection reads lines up to and including an empty one, and returns those before it with their line ends.
func readSection(br *bufio.Reader) (string, error) {
	var text []byte
	lineStart := 0
	for {
		part, err := br.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case len(text) > MaxHead:
			return "", ErrHeadTooLarge
		case errors.Is(err, bufio.ErrBufferFull): // The line continues.
			continue
		case err != nil:
			return "", err
		case !bytes.HasSuffix(text[lineStart:], []byte(lineEnd)):
			return "", errLineEnd
		case len(text) == lineStart+len(lineEnd):
			return string(text[:lineStart]), nil
		}
		lineStart = len(text)
	}
}

// parseFields parses the field lines of a head or trailer section, each with its line end.
func parseFields(lines string) (http.Header, error) {
	header := http.Header{}
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, lineEnd)
		name, value, hasColon := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !hasColon || !httpguts.ValidHeaderFieldName(name) {
			return nil, errFieldName
		}
		if !httpguts.ValidHeaderFieldValue(value) {
			return nil, errFieldValue
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		header[name] = append(header[name], value)
	}
	return header, nil
}

// setVersion parses the HTTP version of a start line. The node speaks only major version 1.
func (h *messageHead) setVersion(text string) error {
	major, minor, ok := http.ParseHTTPVersion(text)
	if !ok {
		return fmt.Errorf("%w: malformed HTTP version", errStartLine)
	}
	if major != 1 {
		return errVersion
	}
	h.minorVersion = minor
	return nil
}

// closesConnection reports whether the sender closes the connection after the message (RFC 9112, section 9.3).
func (h *messageHead) closesConnection() bool {
	options := h.header["Connection"]
	if httpguts.HeaderValuesContainsToken(options, "close") {
		return true
	}
	return h.minorVersion == 0 && !httpguts.HeaderValuesContainsToken(options, "keep-alive")
}
