package operatorfile

import (
	"fmt"
	"strings"
)

// KeyError is an error at one key of an operator file.
type KeyError struct {
	Key    string // key as the file spells it; "(syntax)" or "(file)" for an error without a key
	Line   int    // line number, from 1; 0 if unknown
	Reason string // problem, with the value where there is one
}

// Error returns the line (if known), the key and the reason.
func (e KeyError) Error() string { return e.location() + ": " + e.Reason }

// location returns the line (if known) and the key.
func (e KeyError) location() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s", e.Line, e.Key)
	}
	return e.Key
}

// FileError holds all errors of one file, in the order of their lines. errors.As finds each KeyError.
type FileError struct {
	Path   string // path as passed to Load
	Errors []KeyError
}

// Error returns one line of text for each KeyError. Each line starts with the file's path.
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
