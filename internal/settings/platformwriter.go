package settings

import (
	"encoding/json"
	"strconv"
	"strings"
)

// PlatformJSON returns settings in the nested form of the platform's configuration. The stand-ins of the laboratory use it to
// configure real nodes.
//
// It leaves out fields without a text, switches that are off, and entries of lists from the declared length on. FromJSON
// reads all other settings back, except for times that are not a whole number of time units: PlatformJSON writes their text
// as it is, and FromJSON takes it for microseconds.
func PlatformJSON(s *Settings) json.RawMessage {
	root := object{}
	for key, text := range settingTexts(s) {
		root.set(platformNames[key], text)
	}
	root[classListName] = listObjects(classListName, s.Classes, classTexts)
	root[planListName] = listObjects(planListName, s.Plans, planTexts)
	raw, err := json.Marshal(root)
	if err != nil {
		panic(err) // impossible: the tree has only objects, lists, strings, switches and valid numbers
	}
	return raw
}

// platformName is a platform's name of a setting, and the form of its text.
type platformName struct {
	path []string // the names of the levels
	form form
}

// The platform's names of the lists.
var (
	classListName = listName(classList)
	planListName  = listName(planList)
)

// listName returns the platform's name of a list with a key prefix.
func listName(prefix string) string {
	for name, list := range lists {
		if list == prefix {
			return name
		}
	}
	panic("list " + prefix + " has no name of the platform")
}

// platformNames are the platform's names of the settings outside of lists, by this package's keys.
var platformNames = invertTranslations("")

// invertTranslations returns the platform's names of the settings in a list, or of those outside of lists if list is empty.
func invertTranslations(list string) map[string]platformName {
	inverted := map[string]platformName{}
	for name, known := range translations {
		first, rest, nested := strings.Cut(name, ".")
		_, inList := lists[first]
		switch {
		case list == "" && !inList:
			inverted[known.key] = platformName{path: strings.Split(name, "."), form: known.form}
		case inList && nested && first == list:
			inverted[known.key] = platformName{path: []string{rest}, form: known.form}
		}
	}
	return inverted
}

// listObjects returns a list in the platform's form. texts returns the texts of an entry by this package's fields.
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

// object is an object of the platform's configuration.
type object map[string]any

// set sets a setting in the object, or in the objects within it on the setting's path. It ignores an empty text.
func (o object) set(name platformName, text string) {
	if text == "" {
		return
	}
	last := len(name.path) - 1
	for _, level := range name.path[:last] {
		inner, ok := o[level].(object)
		if !ok {
			inner = object{}
			o[level] = inner
		}
		o = inner
	}
	o[name.path[last]] = jsonValue(name.form.format(text))
}

// jsonValue returns a text as a number or a switch if it is one, otherwise as a string.
func jsonValue(text string) any {
	if text == On {
		return true
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil && json.Valid([]byte(text)) {
		return json.Number(text)
	}
	return text
}

// formatWord returns the platform's word for one of words. It returns an unknown word as it is.
func formatWord(text string) string {
	for platform, standard := range words {
		if standard == text {
			return platform
		}
	}
	return text
}

// formatMicros converts a whole number of time units to microseconds. It returns any other text as it is.
func formatMicros(text string) string {
	units, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return text
	}
	return strconv.FormatInt(units*microsPerTimeUnit, 10)
}

// formatColumns translates a list of the fields of load reports to the platform's names. An unknown name becomes empty.
func formatColumns(text string) string {
	fields := strings.Split(text, ",")
	for i, field := range fields {
		fields[i] = ""
		for platform, standard := range loadColumns {
			if standard == field {
				fields[i] = platform
			}
		}
	}
	return strings.Join(fields, ",")
}

// settingTexts returns the texts of all settings outside of lists, by their keys: the inverse of Parse.
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
		Hedging:           switchText(s.Hedging),
		CancelAttempts:    switchText(s.CancelAttempts),
		HealthChecks:      switchText(s.HealthChecks),
		Peers:             switchText(s.Peers),
		PeerRate:          s.PeerRate.String(),
		RetryAfter:        switchText(s.RetryAfter),
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
		EstimatedUnits:    switchText(s.EstimatedUnits),
		MaxUnits:          s.MaxUnits.String(),
	}
}

// classTexts returns the texts of a class by its fields.
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
		string(ClassStreaming):         switchText(c.Streaming),
		string(ClassObjectiveStretch):  c.ObjectiveStretch.String(),
	}
}

// planTexts returns the texts of a plan by its fields.
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

// switchText returns the text of a switch: On, or none if it is off.
func switchText(on bool) string {
	if on {
		return On
	}
	return ""
}
