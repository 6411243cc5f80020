package scale

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// fillDistinct fills all fields of v, and sets every number to a different value. Thus a comparison detects a missing or moved
// key.
func fillDistinct(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillDistinct(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillDistinct(v.Index(i), next)
		}
	case reflect.Map:
		element := reflect.New(v.Type().Elem()).Elem()
		fillDistinct(element, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("use"), element)
	case reflect.String:
		v.SetString("name")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	default:
		v.SetInt(int64(*next))
	}
}

// TestResultJSONFormat guards against changes of the JSON line that `lab scale` prints. A renamed, missing or moved key would
// make results of different versions incomparable. testdata/result.json holds the keys in their order.
func TestResultJSONFormat(t *testing.T) {
	want, err := os.ReadFile("testdata/result.json")
	if err != nil {
		t.Fatalf("cannot read the expected JSON: %v", err)
	}
	var r Result
	next := 0
	fillDistinct(reflect.ValueOf(&r).Elem(), &next)
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatalf("Marshal of a Result failed: %v", err)
	}
	var got bytes.Buffer
	if err := json.Indent(&got, raw, "", " "); err != nil {
		t.Fatalf("Indent of a Result failed: %v", err)
	}
	got.WriteByte('\n')
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("JSON of a Result is\n%s\nwant the content of testdata/result.json:\n%s", got.String(), want)
	}
}

// TestWorkerProtocolRoundTrip guards against fields of commands and replies that are lost between the lab and its workers, for
// example because two fields of a struct have the same JSON key.
func TestWorkerProtocolRoundTrip(t *testing.T) {
	for name, v := range map[string]any{"nodes command": &nodesCommand{}, "nodes reply": &nodesReply{
		Section: &nodesSectionCounts{},
		Report:  &nodesReport{},
	}, "servers command": &serversCommand{}, "servers reply": &serversReply{}} {
		next := 0
		for i := range reflect.ValueOf(v).Elem().NumField() {
			field := reflect.ValueOf(v).Elem().Field(i)
			if field.Kind() == reflect.Pointer {
				if r, ok := field.Interface().(*nodesReport); ok {
					r.Lists, r.Peers, r.AttemptsBegun = []listApplyTimes{{7, []int64{8, 0}}}, []peerTraffic{{1, 2, 3, 4, 5}}, []int64{9}
					r.Sent, r.P99, r.Unanswered, r.TimerLagP99 = 10, 11, 12, 13
				} else {
					fillDistinct(field.Elem(), &next)
				}
				continue
			}
			fillDistinct(field, &next)
		}
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatalf("Marshal of the %s failed: %v", name, err)
		}
		decoded := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		if err := json.Unmarshal(raw, decoded); err != nil || !reflect.DeepEqual(decoded, v) {
			t.Errorf("%s %s was decoded as %+v, error %v; want %+v, no error", name, raw, decoded, err, v)
		}
	}
}
