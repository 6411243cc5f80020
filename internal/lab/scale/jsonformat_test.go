package scale

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// fill sets every exported field of v to a different value, so that a missing or moved key shows.
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
		e := reflect.New(v.Type().Elem()).Elem()
		fillDistinct(e, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("use"), e)
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

// The line of `lab scale` has the keys of testdata/result.json, in its order.
func TestResultJSONFormat(t *testing.T) {
	want, err := os.ReadFile("testdata/result.json")
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	next := 0
	fillDistinct(reflect.ValueOf(&r).Elem(), &next)
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := json.Indent(&got, raw, "", " "); err != nil {
		t.Fatal(err)
	}
	got.WriteByte('\n')
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got\n%s", got.String())
	}
}

// Every field of the lines between the lab and its workers survives encoding and decoding.
func TestWorkerProtocolRoundTrip(t *testing.T) {
	for name, v := range map[string]any{"nodes command": &nodesCommand{}, "nodes reply": &nodesReply{
		Section: &nodesSectionCounts{},
		Report:  &nodesReport{},
	}, "servers command": &serversCommand{}, "servers reply": &serversReply{}} {
		next := 0
		for i := range reflect.ValueOf(v).Elem().NumField() {
			f := reflect.ValueOf(v).Elem().Field(i)
			if f.Kind() == reflect.Pointer {
				if r, ok := f.Interface().(*nodesReport); ok {
					r.Lists, r.Peers, r.AttemptsBegun = []listApplyTimes{{7, []int64{8, 0}}}, []peerTraffic{{1, 2, 3, 4, 5}}, []int64{9}
					r.Sent, r.P99, r.Unanswered, r.TimerLagP99 = 10, 11, 12, 13
				} else {
					fillDistinct(f.Elem(), &next)
				}
				continue
			}
			fillDistinct(f, &next)
		}
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		back := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		if err := json.Unmarshal(raw, back); err != nil || !reflect.DeepEqual(back, v) {
			t.Errorf("%s: %v, %s", name, err, raw)
		}
	}
}
