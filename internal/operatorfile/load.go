package operatorfile

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// Load reads the file at path. Keys that the file does not give have their defaults. The error is a *FileError if the content
// is invalid. With any error, the returned File is Default().
func Load(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Default(), err
	}
	f, errs := Parse(string(raw))
	if len(errs) > 0 {
		return Default(), &FileError{Path: path, Errors: errs}
	}
	return f, nil
}

// Parse reads a file's text. Keys that the text does not give have their defaults. Errors are in the order of their lines. With
// any error, the returned File is Default().
func Parse(text string) (File, []KeyError) {
	f := Default()
	defaultClasses := f.Lab.Load.Classes
	f.Lab.Load.Classes = nil // classes in the file replace all default classes
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return Default(), []KeyError{decodeError(err)}
	}
	var errs []KeyError
	for _, key := range meta.Undecoded() {
		errs = append(errs, KeyError{Key: key.String(), Reason: "no such key"})
	}
	errs = append(errs, f.migrateDeprecated(meta)...)
	if !meta.IsDefined("lab", "load", "class") && !meta.IsDefined("lab", "load", "band") {
		f.Lab.Load.Classes = defaultClasses
	}
	errs = append(errs, f.Validate()...)
	lines := locateKeys(text)
	for i := range errs {
		errs[i].Line = lines.lineOf(errs[i].Key)
	}
	for i := range f.Deprecations {
		f.Deprecations[i].Line = lines.lineOf(f.Deprecations[i].Key)
	}
	sort.SliceStable(f.Deprecations, func(i, j int) bool { return f.Deprecations[i].Line < f.Deprecations[j].Line })
	sort.SliceStable(errs, func(i, j int) bool { return errs[i].Line < errs[j].Line })
	if len(errs) > 0 {
		return Default(), errs
	}
	return f, nil
}

// decodeError converts an error of the TOML decoder to a KeyError.
func decodeError(err error) KeyError {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return KeyError{Key: "(syntax)", Line: syntax.Position.Line, Reason: syntax.Message}
	}
	return KeyError{Key: "(file)", Reason: err.Error()}
}

// keyLines maps dotted keys to their line numbers. The key of an entry of an array of tables contains its number, from 0.
type keyLines map[string]int

var (
	tableHeader = regexp.MustCompile(`^\s*\[\s*([A-Za-z0-9_.\-]+)\s*\]`)
	arrayHeader = regexp.MustCompile(`^\s*\[\[\s*([A-Za-z0-9_.\-]+)\s*\]\]`)
	assignment  = regexp.MustCompile(`^\s*([A-Za-z0-9_\-]+)\s*=`)
)

// locateKeys returns the lines of keys, tables and entries of arrays of tables. It does not find keys within inline tables.
func locateKeys(text string) keyLines {
	lines := keyLines{}
	prefix := ""
	entries := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		if m := arrayHeader.FindStringSubmatch(line); m != nil {
			prefix = fmt.Sprintf("%s.%d", m[1], entries[m[1]])
			entries[m[1]]++
			lines[m[1]], lines[prefix] = number, number
		} else if m := tableHeader.FindStringSubmatch(line); m != nil {
			prefix = m[1]
			lines[prefix] = number
		} else if m := assignment.FindStringSubmatch(line); m != nil {
			key := m[1]
			if prefix != "" {
				key = prefix + "." + key
			}
			lines[key] = number
		}
	}
	return lines
}

// lineOf returns the line of a key, or else of the innermost table around it that has a line, or else 0.
func (l keyLines) lineOf(key string) int {
	for key != "" {
		if number, ok := l[key]; ok {
			return number
		}
		key = parentKey(key)
	}
	return 0
}

// parentKey returns the key of the table around a dotted key, or an empty string for a top-level key.
func parentKey(key string) string {
	dot := strings.LastIndexByte(key, '.')
	if dot < 0 {
		return ""
	}
	return key[:dot]
}
