package operatorfile

import (
	"os"
	"slices"
	"strings"
	"testing"
)

func TestShippedFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, errs := Parse(string(raw))
	if len(errs) > 0 || len(f.Deprecations) > 0 {
		t.Fatalf("shipped file: %v, %v", errs, f.Deprecations)
	}
	d := Default()
	if f.Lab.Emulator != d.Lab.Emulator || len(f.Lab.Load.Classes) != len(d.Lab.Load.Classes) || f.Log != d.Log {
		t.Fatalf("shipped file is not the defaults:\n%+v\n%+v", f, d)
	}
}

// Everything wrong in a file is returned with its key and line, and nothing of a bad file is taken.
func TestErrorsNameKeyAndLine(t *testing.T) {
	text := "[log]\nlevel = \"loud\"\n\n[lab.emulator]\nservers = 0\ncolour = 3\nlisten = \"10.0.0.1:80\"\n" +
		"[[lab.load.band]]\nname = \"a\"\nrepeats = \"twice\"\n"
	f, errs := Parse(text)
	for _, want := range []string{
		"line 2: log.level", "line 5: lab.emulator.servers", "line 6: lab.emulator.colour: no such key",
		"line 7: lab.emulator.listen", "line 10: lab.load.band.0.repeats",
	} {
		t.Run(want, func(t *testing.T) {
			if !slices.ContainsFunc(errs, func(e KeyError) bool { return strings.HasPrefix(e.Error(), want) }) {
				t.Errorf("missing in %v", errs)
			}
		})
	}
	if f.Lab.Emulator.Servers != Default().Lab.Emulator.Servers {
		t.Error("a bad file changed a value")
	}
}

func TestSyntaxErrorHasLine(t *testing.T) {
	_, errs := Parse("[log]\nlevel = \"info\"\nseed = = 3\n")
	if len(errs) != 1 || errs[0].Line != 3 {
		t.Fatalf("got %v", errs)
	}
}

// Classes given in the file replace the defaults whole rather than mixing with them.
func TestClassesReplaceDefaults(t *testing.T) {
	f, errs := Parse("[[lab.load.band]]\nname = \"only\"\nrepeats = \"replayable\"\nshare = 1.0\nbudget_ms = 100\n")
	if len(errs) > 0 || len(f.Lab.Load.Classes) != 1 || f.Lab.Load.Classes[0].Name != "only" {
		t.Fatalf("got %+v %v", f.Lab.Load.Classes, errs)
	}
}
