package decision

import (
	"embed"
	"strings"
	"sync"
	"testing"
)

// expectedFiles holds the expected outputs of the engine. Each line has a name and a value, separated by a tab.
//
//go:embed testdata/*.txt
var expectedFiles embed.FS

// expectedOutputs returns the expected outputs of all files, by name.
var expectedOutputs = sync.OnceValue(func() map[string]string {
	outputs := map[string]string{}
	for _, file := range []string{"testdata/engine_outputs.txt", "testdata/fleet_simulations.txt"} {
		text, err := expectedFiles.ReadFile(file)
		if err != nil {
			panic(err)
		}
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
			if _, duplicate := outputs[name]; duplicate {
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
		t.Errorf("testdata has no expected value of the output %q, want one; the output is\n%s", name, got)
	} else if got != want {
		t.Errorf("output %q =\n%s\nwant\n%s", name, got, want)
	}
}
