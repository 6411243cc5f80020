package model

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// wantSeriesKeys are the keys of each line of a series, in their order.
const wantSeriesKeys = "t arrived outcomes[bounced broken completed gave_up] p50_ms p95_ms p99_ms load_mean load_max open twice servers_up"

// wantTotalsKeys are the keys of a run's totals, in their order.
const wantTotalsKeys = "policy nodes servers virtual_s tickets outcomes[bounced broken completed gave_up] goodput p50_ms p99_ms twice " +
	"unanswered late_to_drained events real_s virtual_s_per_real_s tickets_per_real_s"

// keysOf returns the keys of a JSON object in their order, with the keys of an inner object in brackets.
func keysOf(t *testing.T, text []byte) string {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	var out strings.Builder
	depth, key := 0, false
	for {
		token, err := d.Token()
		if err != nil {
			break
		}
		switch token {
		case json.Delim('{'):
			if depth++; depth > 1 {
				out.WriteString("[")
			}
			key = true
			continue
		case json.Delim('}'):
			if depth--; depth > 0 {
				out.WriteString("]")
			}
			key = true
			continue
		}
		if key {
			if n := out.Len(); n > 0 && out.String()[n-1] != '[' {
				out.WriteString(" ")
			}
			fmt.Fprint(&out, token)
		}
		key = !key
	}
	return out.String()
}

// numbersOf returns the numbers of each line of a series in ascending order, without their keys.
func numbersOf(t *testing.T, series []byte) string {
	t.Helper()
	var out strings.Builder
	for _, line := range bytes.Split(bytes.TrimSpace(series), []byte("\n")) {
		var m map[string]any
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatalf("the line %s of the series: %v", line, err)
		}
		var numbers []float64
		for _, v := range m {
			switch v := v.(type) {
			case float64:
				numbers = append(numbers, v)
			case map[string]any:
				for n := range maps.Values(v) {
					numbers = append(numbers, n.(float64))
				}
			}
		}
		slices.Sort(numbers)
		fmt.Fprintln(&out, numbers)
	}
	return out.String()
}

// The series of a seeded run has the expected first two lines, keys in all lines, and digest of all numbers, for each
// policy. A different key breaks the readers of series. A different number means that the model has changed or, with the policy
// DecisionEngine, the engine's decisions.
func TestSeriesFormatAndFigures(t *testing.T) {
	for _, c := range []struct {
		policy     Policy
		firstLines string // first two lines of the series
		digest     string // SHA-256 digest of numbersOf, in hexadecimal
	}{
		{
			DecisionEngine, `{"t":0,"arrived":874,"outcomes":{"bounced":242,"broken":0,"completed":612,"gave_up":0},"p50_ms":22.591,"p95_ms":81.151,"p99_ms":106.559,"load_mean":0.3125,"load_max":0.625,"open":20,"twice":0,"servers_up":8}
{"t":1,"arrived":905,"outcomes":{"bounced":228,"broken":0,"completed":675,"gave_up":0},"p50_ms":21.759,"p95_ms":82.111,"p99_ms":120.959,"load_mean":0.34375,"load_max":0.5,"open":22,"twice":0,"servers_up":8}
`,
			"1f053c6b7c15c867e512edbef621dde0c5f99757d2569321c2d3cea78770d54a",
		},
		{
			RoundRobin, `{"t":0,"arrived":776,"outcomes":{"bounced":0,"broken":0,"completed":751,"gave_up":0},"p50_ms":22.591,"p95_ms":72.511,"p99_ms":106.623,"load_mean":0.390625,"load_max":0.625,"open":25,"twice":0,"servers_up":8}
{"t":1,"arrived":886,"outcomes":{"bounced":204,"broken":0,"completed":685,"gave_up":0},"p50_ms":22.031,"p95_ms":67.967,"p99_ms":94.271,"load_mean":0.328125,"load_max":0.5,"open":22,"twice":0,"servers_up":8}
`,
			"a82403059f72ceba786b49bb9d7c7f1de74599514a395ebc6460ac52d9a97452",
		},
		{
			LeastBusy, `{"t":0,"arrived":776,"outcomes":{"bounced":0,"broken":0,"completed":752,"gave_up":0},"p50_ms":22.367,"p95_ms":74.943,"p99_ms":105.919,"load_mean":0.375,"load_max":0.75,"open":24,"twice":0,"servers_up":8}
{"t":1,"arrived":886,"outcomes":{"bounced":204,"broken":0,"completed":686,"gave_up":0},"p50_ms":21.535,"p95_ms":68.031,"p99_ms":103.039,"load_mean":0.3125,"load_max":0.625,"open":20,"twice":0,"servers_up":8}
`,
			"85daa1acd8ac90acc38bf3c49b70fc1d6cbf2f6f66226d806faed399b765b3b0",
		},
	} {
		t.Run(string(c.policy), func(t *testing.T) {
			var series bytes.Buffer
			schedule := faultSchedule + "[[fault]]\nkind = \"drain\"\nserver = 4\nat_s = 8\nfor_s = 1\n"
			totals, err := json.Marshal(newSimulation(t, testConfig(t, c.policy, schedule), &series).Run())
			if err != nil {
				t.Fatalf("Marshal of the totals: %v", err)
			}
			lines := strings.SplitAfter(series.String(), "\n")
			if len(lines) < 20 {
				t.Fatalf("the series has %d lines, want at least 20", len(lines))
			}
			if got := lines[0] + lines[1]; got != c.firstLines {
				t.Errorf("the first two lines of the series are\n%swant\n%s", got, c.firstLines)
			}
			for i, line := range lines[:len(lines)-1] {
				if got := keysOf(t, []byte(line)); got != wantSeriesKeys {
					t.Errorf("line %d of the series has the keys\n%s, want\n%s", i+1, got, wantSeriesKeys)
				}
			}
			if got := keysOf(t, totals); got != wantTotalsKeys {
				t.Errorf("the totals have the keys\n%s, want\n%s", got, wantTotalsKeys)
			}
			sum := sha256.Sum256([]byte(numbersOf(t, series.Bytes())))
			if got := hex.EncodeToString(sum[:]); got != c.digest {
				t.Errorf("the digest of the numbers is %s, want %s", got, c.digest)
			}
		})
	}
}
