package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// FromText reads the simulator's text, which has one name=value on each line. It ignores unknown names, and lines without
// "=". The last of several lines with the same name applies.
func FromText(text []byte) *Settings { return Parse(valuesFromText(text)) }

// FromJSON reads the nested form of the platform's configuration. The error is that of encoding/json.
func FromJSON(raw []byte) (*Settings, error) {
	values, err := valuesFromJSON(raw)
	if err != nil {
		return nil, err
	}
	return Parse(values), nil
}

// valuesFromText reads the simulator's text into this package's keys.
func valuesFromText(text []byte) Values {
	set := Values{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			add(set, name, value)
		}
	}
	return set
}

// valuesFromJSON reads the platform's configuration into this package's keys.
func valuesFromJSON(raw []byte) (Values, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps the text of numbers
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	set := Values{}
	flatten(set, "", tree)
	return set, nil
}

// flatten adds a nested value under its name in the text form: the names of the levels joined by dots.
func flatten(set Values, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			if name != "" {
				key = name + "." + key
			}
			flatten(set, key, inner)
		}
	case []any:
		flattenList(set, name, v)
	case nil:
	default:
		add(set, name, fmt.Sprint(v))
	}
}

// flattenList adds a list. Each entry of a list of objects is added under the entry's number, and the list's length under
// ".count". A list without objects becomes one text, joined by commas.
func flattenList(set Values, name string, list []any) {
	values := make([]string, len(list))
	hasObject := false
	for i, inner := range list {
		if _, object := inner.(map[string]any); object {
			flatten(set, name+"."+strconv.Itoa(i), inner)
			hasObject = true
		} else {
			values[i] = fmt.Sprint(inner)
		}
	}
	if hasObject {
		add(set, name+".count", strconv.Itoa(len(list)))
	} else {
		add(set, name, strings.Join(values, ","))
	}
}

// add translates one setting of the platform. Unknown names are ignored.
func add(set Values, name, value string) {
	parts := strings.SplitN(name, ".", 3) // of a list: its name, the entry's number, the entry's setting
	list, ok := lists[parts[0]]
	if !ok || len(parts) == 1 {
		if known, ok := translations[name]; ok {
			set[known.key] = known.form.parse(value)
		}
		return
	}
	if name == parts[0]+countField {
		set[list+countField] = value
		return
	}
	if len(parts) < 3 {
		return
	}
	if known, ok := translations[parts[0]+"."+parts[2]]; ok {
		set[entryKey(list, parts[1], known.key)] = known.form.parse(value)
	}
}
