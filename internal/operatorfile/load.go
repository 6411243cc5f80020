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

// Load reads the file at path. Keys that it does not give have their defaults. The error is a *FileError if the content has
// errors. With any error the returned File is Default.
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

// Parse reads a file's text. Keys that it does not give have their defaults. Errors come in the order of their lines; with
// any error the returned File is Default.
func Parse(text string) (File, []KeyError) {
	f := Default()
	defaultClasses := f.Lab.Load.Classes
	f.Lab.Load.Classes = nil // the file's classes replace all of the defaults
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return Default(), []KeyError{decodeError(err)}
	}
	var errs []KeyError
	for _, key := range meta.Undecoded() {
		errs = append(errs, KeyError{Key: key.String(), Reason: "no such key"})
	}
	errs = append(errs, f.adoptDeprecated(meta)...)
	if !meta.IsDefined("lab", "load", "class") && !meta.IsDefined("lab", "load", "band") {
		f.Lab.Load.Classes = defaultClasses
	}
	errs = append(errs, f.Validate()...)
	lines := locate(text)
	for i := range errs {
		errs[i].Line = lines.of(errs[i].Key)
	}
	for i := range f.Deprecations {
		f.Deprecations[i].Line = lines.of(f.Deprecations[i].Key)
	}
	sort.SliceStable(f.Deprecations, func(i, j int) bool { return f.Deprecations[i].Line < f.Deprecations[j].Line })
	sort.SliceStable(errs, func(i, j int) bool { return errs[i].Line < errs[j].Line })
	if len(errs) > 0 {
		return Default(), errs
	}
	return f, nil
}

// decodeError returns the error of the TOML decoder as a KeyError.
func decodeError(err error) KeyError {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return KeyError{Key: "(syntax)", Line: syntax.Position.Line, Reason: syntax.Message}
	}
	return KeyError{Key: "(file)", Reason: err.Error()}
}

// keyLines maps dotted keys to their lines. The entries of an array of tables have their numbers in the key.
type keyLines map[string]int

var (
	tableHeader = regexp.MustCompile(`^\s*\[\s*([A-Za-z0-9_.\-]+)\s*\]`)
	arrayHeader = regexp.MustCompile(`^\s*\[\[\s*([A-Za-z0-9_.\-]+)\s*\]\]`)
	assignment  = regexp.MustCompile(`^\s*([A-Za-z0-9_\-]+)\s*=`)
)

// locate finds the lines of keys, tables and entries of arrays. It does not see keys within inline tables.
func locate(text string) keyLines {
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

// of returns the line of a key, or of the innermost table around it that has a line. It returns 0 if there is none.
func (l keyLines) of(key string) int {
	for key != "" {
		if number, ok := l[key]; ok {
			return number
		}
		key = parent(key)
	}
	return 0
}

// parent returns the table of a dotted key, or an empty string if the key has none.
func parent(key string) string {
	dot := strings.LastIndexByte(key, '.')
	if dot < 0 {
		return ""
	}
	return key[:dot]
}
