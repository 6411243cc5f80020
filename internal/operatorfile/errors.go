package operatorfile

import (
	"fmt"
	"strings"
)

// KeyError is an error in a file, at one of its keys.
type KeyError struct {
	Key    string // as the file spells it; "(syntax)" or "(file)" for an error without a key
	Line   int    // from 1; 0 where unknown
	Reason string
}

// Error returns the line, where it is known, the key and the reason.
func (e KeyError) Error() string { return e.at() + ": " + e.Reason }

// at returns the place of the error.
func (e KeyError) at() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s", e.Line, e.Key)
	}
	return e.Key
}

// FileError holds all errors of one file, in the order of their lines. errors.As finds each KeyError.
type FileError struct {
	Path   string
	Errors []KeyError
}

// Error returns a line for each error, with the file's path.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, err := range e.Errors {
		lines[i] = e.Path + ": " + err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the KeyErrors.
func (e *FileError) Unwrap() []error {
	errs := make([]error, len(e.Errors))
	for i, err := range e.Errors {
		errs[i] = err
	}
	return errs
}
