package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// FromText reads the simulator's text, a name=value a line; names that are not known, and lines without a value, are
// passed over. Of a name given twice the last holds.
func FromText(text []byte) map[string]string {
	set := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			add(set, name, value)
		}
	}
	return set
}

// FromJSON reads the nested form of the configuration. The error is that of encoding/json.
func FromJSON(raw []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // numbers are handed on as they are written
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	set := map[string]string{}
	flatten(set, "", tree)
	return set, nil
}

// flatten adds a nested value as the text form would give it: the entries of a list of objects by their numbers, with
// how many there are; those of another list joined by commas.
func flatten(set map[string]string, name string, value any) {
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

func flattenList(set map[string]string, name string, list []any) {
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

// add adds one setting of the platform under its key here, if it is known.
func add(set map[string]string, name, value string) {
	parts := strings.SplitN(name, ".", 3) // of a list: its name, the entry's number, the entry's setting
	list, ok := lists[parts[0]]
	if !ok || len(parts) == 1 {
		if known, ok := translations[name]; ok {
			set[known.key] = known.value(value)
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
		set[entryKey(list, parts[1], known.key)] = known.value(value)
	}
}
