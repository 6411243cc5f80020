package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// FromText parses the simulator's text, which has one name=value on each line. It ignores unknown names, and lines without
// "=". If several lines have the same name, the last one applies.
func FromText(text []byte) *Settings { return Parse(valuesFromText(text)) }

// FromJSON parses the nested form of the platform's configuration. It returns the error of encoding/json if raw does not
// begin with a JSON object or null.
func FromJSON(raw []byte) (*Settings, error) {
	values, err := valuesFromJSON(raw)
	if err != nil {
		return nil, err
	}
	return Parse(values), nil
}

// valuesFromText parses the simulator's text and translates it into this package's keys.
func valuesFromText(text []byte) Values {
	values := Values{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			addSetting(values, name, value)
		}
	}
	return values
}

// valuesFromJSON parses the platform's configuration and translates it into this package's keys.
func valuesFromJSON(raw []byte) (Values, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // A json.Number keeps the text of the number.
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	values := Values{}
	flatten(values, "", tree)
	return values, nil
}

// flatten adds a nested value under its name in the text form: the keys of the enclosing objects, joined by dots.
func flatten(values Values, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			if name != "" {
				key = name + "." + key
			}
			flatten(values, key, inner)
		}
	case []any:
		flattenList(values, name, v)
	case nil:
	default:
		addSetting(values, name, fmt.Sprint(v))
	}
}

// flattenList adds a list. In a list that has an object, each object is added under its number, and the list's length under
// ".count". A list without objects becomes one text, its elements joined by commas.
func flattenList(values Values, name string, list []any) {
	texts := make([]string, len(list))
	hasObject := false
	for i, inner := range list {
		if _, object := inner.(map[string]any); object {
			flatten(values, name+"."+strconv.Itoa(i), inner)
			hasObject = true
		} else {
			texts[i] = fmt.Sprint(inner)
		}
	}
	if hasObject {
		addSetting(values, name+".count", strconv.Itoa(len(list)))
	} else {
		addSetting(values, name, strings.Join(texts, ","))
	}
}

// addSetting translates one setting of the platform and adds it to values. Unknown names are ignored.
func addSetting(values Values, name, value string) {
	parts := strings.SplitN(name, ".", 3) // The parts in a list are the list's name, an entry's number and the entry's setting.
	prefix, ok := listPrefixes[parts[0]]
	if !ok || len(parts) == 1 {
		if setting, ok := translations[name]; ok {
			values[setting.key] = setting.form.parse(value)
		}
		return
	}
	if name == parts[0]+countField {
		values[prefix+countField] = value
		return
	}
	if len(parts) < 3 {
		return
	}
	if setting, ok := translations[parts[0]+"."+parts[2]]; ok {
		values[entryKey(prefix, parts[1], setting.key)] = setting.form.parse(value)
	}
}
