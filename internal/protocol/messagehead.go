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

	errFieldResemblance = errors.New("field name resembles Content-Length or Transfer-Encoding")
)

// grammar is the strictness with which a head is read.
type grammar int

const (
	// strictGrammar accepts only what RFC 9112 prescribes for senders: lines end with CRLF (section 2.2), field names are
	// tokens that the colon follows directly (section 5.1), and no field extends over several lines (section 5.2). Names that
	// resemble those of the framing headers are rejected too. It is for clients, because a client may sit behind a recipient that
	// reads the same bytes in another way.
	strictGrammar grammar = iota
	// tolerantGrammar also accepts what these sections let a client of a server repair: lines that end with LF, space before the
	// colon, which is removed, and continued lines, which are joined with a space.
	tolerantGrammar
)

// MaxHead is the maximum size of a message's head, and of a trailer section, in bytes.
const MaxHead = 16 << 10

// lineEnd ends each line of a head and of a trailer section.
const lineEnd = "\r\n"

// whitespace contains the characters that may surround a field's value.
const whitespace = " \t"

// messageHead is the head of an HTTP/1.x message.
type messageHead struct {
	startLine    string
	header       http.Header // fields under canonical names, with values in the order of the lines
	minorVersion int         // minor HTTP version; set by the parser of the start line
}

// readMessageHead reads the head of a message, without parsing the start line. A head over MaxHead gives ErrHeadTooLarge.
// Other errors are one of the errors above or an error of br's reader.
func readMessageHead(br *bufio.Reader, g grammar) (messageHead, error) {
	lines, err := readSection(br, g)
	if err != nil {
		return messageHead{}, err
	}
	startLine, fields, _ := strings.Cut(lines, "\n")
	header, err := parseFields(fields, g)
	return messageHead{startLine: strings.TrimSuffix(startLine, "\r"), header: header}, err
}

// readSection reads lines up to and including an empty one, and returns those before it with their line ends.
func readSection(br *bufio.Reader, g grammar) (string, error) {
	var text []byte
	lineStart := 0
	for {
		part, err := br.ReadSlice('\n')
		text = append(text, part...)
		line := text[lineStart:]
		switch {
		case len(text) > MaxHead:
			return "", ErrHeadTooLarge
		case errors.Is(err, bufio.ErrBufferFull): // The line continues.
			continue
		case err != nil:
			return "", err
		case g == strictGrammar && !bytes.HasSuffix(line, []byte(lineEnd)):
			return "", errLineEnd
		case string(line) == lineEnd || string(line) == "\n":
			return string(text[:lineStart]), nil
		}
		lineStart = len(text)
	}
}

// parseFields parses the field lines of a head or trailer section, each with its line end.
func parseFields(lines string, g grammar) (http.Header, error) {
	header := http.Header{}
	lastName := ""
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, "\n")
		line = strings.TrimSuffix(line, "\r")
		field, err := parseField(line, g)
		if err != nil {
			return nil, err
		}
		if !field.continues {
			lastName = field.name
			header[lastName] = append(header[lastName], field.value)
			continue
		}
		values := header[lastName]
		if len(values) == 0 {
			return nil, errFieldName
		}
		last := &values[len(values)-1]
		*last = strings.Trim(*last+" "+field.value, whitespace)
	}
	return header, nil
}

// field is a parsed field line.
type field struct {
	name      string // canonical name; empty if continues
	value     string // value without surrounding whitespace
	continues bool   // true if the value continues that of the previous line
}

// parseField parses one field line without its line end.
func parseField(line string, g grammar) (field, error) {
	name, value, hasColon := strings.Cut(line, ":")
	if g == tolerantGrammar && strings.IndexAny(line, whitespace) == 0 {
		return parseValue(field{continues: true}, line)
	}
	if g == tolerantGrammar {
		name = strings.TrimRight(name, whitespace)
	}
	if !hasColon || !httpguts.ValidHeaderFieldName(name) {
		return field{}, errFieldName
	}
	if g == strictGrammar && resemblesFramingHeader(name) {
		return field{}, errFieldResemblance
	}
	return parseValue(field{name: textproto.CanonicalMIMEHeaderKey(name)}, value)
}

// parseValue returns f with the value that text contains.
func parseValue(f field, text string) (field, error) {
	f.value = strings.Trim(text, whitespace)
	if !httpguts.ValidHeaderFieldValue(f.value) {
		return field{}, errFieldValue
	}
	return f, nil
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
