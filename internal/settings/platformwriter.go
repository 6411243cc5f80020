package settings

import (
	"encoding/json"
	"strconv"
	"strings"
)

// PlatformJSON returns settings in the nested form of the platform's configuration. The packages of internal/lab use it
// to configure real nodes.
//
// It omits fields without a text, booleans that are false, and list entries whose number is not below the declared length.
// FromJSON parses all other settings back, except for times that are not a whole number of time units. PlatformJSON writes
// the text of such a time unchanged, and FromJSON interprets it as microseconds.
func PlatformJSON(s *Settings) json.RawMessage {
	root := object{}
	for key, text := range settingTexts(s) {
		root.set(platformNames[key], text)
	}
	root[classListName] = listObjects(classListName, s.Classes, classTexts)
	root[planListName] = listObjects(planListName, s.Plans, planTexts)
	raw, err := json.Marshal(root)
	if err != nil {
		panic(err) // This is impossible: the tree has only objects, lists, strings, booleans and valid numbers.
	}
	return raw
}

// platformName is the platform's name of a setting, and the form of its text.
type platformName struct {
	path []string // keys of the nested objects, the outermost first
	form form
}

// The platform's names of the lists.
var (
	classListName = listName(classList)
	planListName  = listName(planList)
)

// listName returns the platform's name of a list with a key prefix.
func listName(prefix string) string {
	for name, listPrefix := range listPrefixes {
		if listPrefix == prefix {
			return name
		}
	}
	panic("list " + prefix + " has no platform name")
}

// platformNames maps this package's keys outside of lists to the platform's names.
var platformNames = invertTranslations("")

// invertTranslations returns the platform's names of the settings in the list with the platform's name list, by field. If
// list is empty, it returns those of the settings outside of lists, by key.
func invertTranslations(list string) map[string]platformName {
	inverted := map[string]platformName{}
	for name, setting := range translations {
		first, rest, nested := strings.Cut(name, ".")
		_, inList := listPrefixes[first]
		switch {
		case list == "" && !inList:
			inverted[setting.key] = platformName{path: strings.Split(name, "."), form: setting.form}
		case inList && nested && first == list:
			inverted[setting.key] = platformName{path: []string{rest}, form: setting.form}
		}
	}
	return inverted
}

// listObjects returns a list in the platform's form. texts returns the texts of an entry by ClassField or PlanField.
func listObjects[E any](name string, list List[E], texts func(E) Values) []object {
	names := invertTranslations(name)
	objects := make([]object, list.NamedLen())
	for i := range objects {
		objects[i] = object{}
		for field, text := range texts(list.At(i)) {
			objects[i].set(names[field], text)
		}
	}
	return objects
}

// object is a JSON object in the platform's configuration.
type object map[string]any

// set sets a setting at its path within the object, and creates missing inner objects. It ignores an empty text.
func (o object) set(name platformName, text string) {
	if text == "" {
		return
	}
	last := len(name.path) - 1
	for _, key := range name.path[:last] {
		inner, ok := o[key].(object)
		if !ok {
			inner = object{}
			o[key] = inner
		}
		o = inner
	}
	o[name.path[last]] = jsonValue(name.form.format(text))
}

// jsonValue returns the JSON value of a text: true for On, a number for a valid JSON number, otherwise a string.
func jsonValue(text string) any {
	if text == On {
		return true
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil && json.Valid([]byte(text)) {
		return json.Number(text)
	}
	return text
}

// formatEnum translates an enumerated setting to the platform's value. It returns an unknown value unchanged.
func formatEnum(text string) string {
	for platformValue, value := range enumValues {
		if value == text {
			return platformValue
		}
	}
	return text
}

// formatMicros converts a whole number of time units to microseconds. It returns any other text unchanged.
func formatMicros(text string) string {
	units, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return text
	}
	return strconv.FormatInt(units*microsPerTimeUnit, 10)
}

// formatLoadFields translates a list of the fields of load reports to the platform's names. An unknown name becomes empty.
func formatLoadFields(text string) string {
	fields := strings.Split(text, ",")
	for i, field := range fields {
		fields[i] = ""
		for platformField, name := range loadFieldNames {
			if name == field {
				fields[i] = platformField
			}
		}
	}
	return strings.Join(fields, ",")
}

// settingTexts returns the texts of all settings outside of lists, by key. It is the inverse of Parse for them.
func settingTexts(s *Settings) Values {
	return Values{
		Node:              s.Node.String(),
		Nodes:             s.Nodes.String(),
		Tick:              s.Tick.String(),
		EndpointList:      string(s.EndpointList),
		PollWithin:        s.PollWithin.String(),
		LoadReportFields:  strings.Join(s.LoadReportFields, ","),
		LoadReportChannel: s.LoadReportChannel,
		MaxAttempts:       s.MaxAttempts.String(),
		Hedging:           boolText(s.Hedging),
		CancelAttempts:    boolText(s.CancelAttempts),
		HealthChecks:      boolText(s.HealthChecks),
		Peers:             boolText(s.Peers),
		PeerRate:          s.PeerRate.String(),
		RetryAfter:        boolText(s.RetryAfter),
		MaxRetryAfter:     s.MaxRetryAfter.String(),
		MaxRequests:       s.MaxRequests.String(),
		IdleTimeout:       s.IdleTimeout.String(),
		ConnectTimeout:    s.ConnectTimeout.String(),
		SlowStartSpan:     s.SlowStartSpan.String(),
		SlowStartShare:    s.SlowStartShare.String(),
		OverloadMultiple:  s.OverloadMultiple.String(),
		OverloadSpan:      s.OverloadSpan.String(),
		DrainGrace:        s.DrainGrace.String(),
		ResponseSlack:     s.ResponseSlack.String(),
		EstimatedUnits:    boolText(s.EstimatedUnits),
		MaxUnits:          s.MaxUnits.String(),
	}
}

// classTexts returns the texts of a class, by ClassField.
func classTexts(c Class) Values {
	return Values{
		string(ClassName):              c.Name,
		string(ClassRetrySafety):       string(c.RetrySafety),
		string(ClassLatencyObjective):  c.LatencyObjective.String(),
		string(ClassDeadline):          c.Deadline.String(),
		string(ClassIdempotencyGroup):  string(c.IdempotencyGroup),
		string(ClassIdempotencyWindow): c.IdempotencyWindow.String(),
		string(ClassPriorityWeight):    c.PriorityWeight.String(),
		string(ClassLateShare):         c.LateShare.String(),
		string(ClassStreaming):         boolText(c.Streaming),
		string(ClassObjectiveStretch):  c.ObjectiveStretch.String(),
	}
}

// planTexts returns the texts of a plan, by PlanField.
func planTexts(p Plan) Values {
	return Values{
		string(PlanName):           p.Name,
		string(PlanRate):           p.Rate.String(),
		string(PlanBurst):          p.Burst.String(),
		string(PlanMaxInFlight):    p.MaxInFlight.String(),
		string(PlanPriorityFactor): p.PriorityFactor.String(),
		string(PlanOverQuotaShare): p.OverQuotaShare.String(),
		string(PlanOverQuotaCost):  p.OverQuotaCost.String(),
		string(PlanCeilingRate):    p.CeilingRate.String(),
		string(PlanCeilingBurst):   p.CeilingBurst.String(),
		string(PlanCeilingSlack):   p.CeilingSlack.String(),
	}
}

// boolText returns the text of a boolean setting: On, or an empty text if it is false.
func boolText(on bool) string {
	if on {
		return On
	}
	return ""
}
