package operatorfile

import (
	"fmt"
	"strings"
)

// KeyError is one thing wrong in a file.
type KeyError struct {
	Key    string // as the file has it; (syntax) or (file) where there is none
	Line   int    // that it is on, from 1; 0 where unknown
	Reason string
}

// Error is the line, where it is known, the key and the reason.
func (e KeyError) Error() string { return e.at() + ": " + e.Reason }

func (e KeyError) at() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s", e.Line, e.Key)
	}
	return e.Key
}

// FileError is everything wrong in one file, in the order of the lines.
type FileError struct {
	Path   string
	Errors []KeyError
}

// Error has a line for each, with the file's path.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, err := range e.Errors {
		lines[i] = e.Path + ": " + err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap is each KeyError, for errors.As.
func (e *FileError) Unwrap() []error {
	errs := make([]error, len(e.Errors))
	for i, err := range e.Errors {
		errs[i] = err
	}
	return errs
}
