package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
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
	fields       headerFields // fields of known names
	minorVersion int          // minor HTTP version; set by the parser of the start line
}

// section reads the lines of a head or trailer section. It keeps them in one text that grows, so that a line and its parts need no
// memory of their own, and each line can be checked before the next one is read.
type section struct {
	br      *bufio.Reader
	grammar grammar
	memory  Memory
	text    strings.Builder // all lines that were read, with their line ends
}

// newSection returns a reader of the section that follows in br.
func newSection(br *bufio.Reader, g grammar, memory Memory) *section {
	return &section{br: br, grammar: g, memory: memory}
}

// nextLine reads a line and returns it without its line end. The empty line ends the section. A section over MaxHead gives
// ErrHeadTooLarge. Other errors are errLineEnd or an error of memory or of br's reader.
func (s *section) nextLine() (string, error) {
	begin := s.text.Len()
	for {
		part, err := s.br.ReadSlice('\n')
		if memoryErr := s.grow(s.text.Len() + len(part)); memoryErr != nil {
			return "", memoryErr
		}
		s.text.Write(part)
		switch {
		case s.text.Len() > MaxHead:
			return "", ErrHeadTooLarge
		case err == nil:
			return s.withoutEnd(s.text.String()[begin:])
		case !errors.Is(err, bufio.ErrBufferFull): // else the line continues
			return "", err
		}
	}
}

// grow makes the text's capacity at least size bytes. The lines that were read stay valid.
func (s *section) grow(size int) error {
	if size <= s.text.Cap() {
		return nil
	}
	capacity, err := growCapacity(s.text.Cap(), size, uncountedHead, MaxHead, s.memory)
	if err != nil {
		return err
	}
	lines := s.text.String()
	s.text.Reset()
	s.text.Grow(capacity)
	s.text.WriteString(lines)
	return nil
}

// withoutEnd returns a line without its line end.
func (s *section) withoutEnd(line string) (string, error) {
	if content, ok := strings.CutSuffix(line, lineEnd); ok {
		return content, nil
	}
	if s.grammar == strictGrammar {
		return "", errLineEnd
	}
	return strings.TrimSuffix(line, "\n"), nil
}

// readFields reads field lines up to and including the empty line. It checks each as it is read, and returns those of known names.
func (s *section) readFields() (headerFields, error) {
	var fields headerFields
	var last field // field of the last line, with the lines that continue it
	for {
		line, err := s.nextLine()
		if err != nil {
			return nil, err
		}
		if line == "" {
			return fields, fields.add(last.name, last.value)
		}
		next, err := parseField(line, s.grammar)
		switch {
		case err != nil:
			return nil, err
		case !next.continues:
			if err := fields.add(last.name, last.value); err != nil {
				return nil, err
			}
			last = next
		case last.name == "":
			return nil, errFieldName
		case knownName(last.name) != "":
			last.value = strings.Trim(last.value+" "+next.value, whitespace)
		}
	}
}

// field is a parsed field line.
type field struct {
	name      string // name as the line has it; empty if continues
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
	return parseValue(field{name: name}, value)
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
	options := h.fields.values(headerConnection)
	if httpguts.HeaderValuesContainsToken(options, "close") {
		return true
	}
	return h.minorVersion == 0 && !httpguts.HeaderValuesContainsToken(options, "keep-alive")
}
