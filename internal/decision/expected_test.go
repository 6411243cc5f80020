package decision

import (
	"embed"
	"strings"
	"sync"
	"testing"
)

// The expected outputs of the engine, by name: one a line, name and value separated by a tab.
//
//go:embed testdata/*.txt
var expectedFiles embed.FS

// expectedOutputs returns the expected outputs of all files.
var expectedOutputs = sync.OnceValue(func() map[string]string {
	outputs := map[string]string{}
	for _, file := range []string{"testdata/engine_outputs.txt", "testdata/fleet_simulations.txt"} {
		text, err := expectedFiles.ReadFile(file)
		if err != nil {
			panic(err)
		}
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
			if _, twice := outputs[name]; twice {
				panic(file + " has two values of " + name)
			}
			outputs[name] = value
		}
	}
	return outputs
})

// compareExpected fails the test unless the output with the name is the expected one.
func compareExpected(t *testing.T, name, got string) {
	t.Helper()
	want, ok := expectedOutputs()[name]
	if !ok {
		t.Errorf("%s: no expected output; got\n%s", name, got)
	} else if got != want {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
