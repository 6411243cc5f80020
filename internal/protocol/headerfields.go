package protocol

import (
	"errors"
	"strings"
)

// maxKnownFields is the maximum number of fields of a head that have a known name.
const maxKnownFields = 64

// errTooManyFields is the error for a head with more than maxKnownFields known fields.
var errTooManyFields = errors.New("too many header fields of known names")

// knownNames lists the names of the fields that a head keeps, in canonical form. No reader of a head uses other fields.
var knownNames = [...]string{
	headerConnection, headerContentLength, headerTransferEncoding, headerExpect, headerHost, headerDate, headerContentType,
	headerIdempotencyKey, HeaderRequestID, HeaderPlan, HeaderTimeout, HeaderWeight, HeaderRejected, HeaderUnits,
}

// knownName returns the canonical form of a field name if it is one of knownNames, and "" otherwise.
func knownName(name string) string {
	for _, known := range knownNames {
		if len(known) == len(name) && strings.EqualFold(known, name) {
			return known
		}
	}
	return ""
}

// headerField is a field of a known name.
type headerField struct {
	name  string // canonical name
	value string // value without surrounding whitespace
}

// headerFields holds the fields of a head that have known names, in the order of their lines. All other fields are checked and
// dropped, so a head of very many fields takes no more memory than its text.
type headerFields []headerField

// add appends a field if its name is known. It returns an error if the head has too many such fields.
func (f *headerFields) add(name, value string) error {
	known := knownName(name)
	if known == "" {
		return nil
	}
	if len(*f) == maxKnownFields {
		return errTooManyFields
	}
	*f = append(*f, headerField{known, value})
	return nil
}

// get returns the value of the first field of a name, or "" if there is none. name is in canonical form.
func (f headerFields) get(name string) string {
	for i := range f {
		if f[i].name == name {
			return f[i].value
		}
	}
	return ""
}

// values returns the values of all fields of a name, in the order of their lines. name is in canonical form.
func (f headerFields) values(name string) []string {
	var values []string
	for i := range f {
		if f[i].name == name {
			values = append(values, f[i].value)
		}
	}
	return values
}
