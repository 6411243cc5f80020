package operatorfile

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// Guards against an example file whose values differ from the defaults that it documents.
func TestExampleFileHasTheDefaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, errs := Parse(string(raw))
	if len(errs) > 0 || len(f.Deprecations) > 0 {
		t.Fatalf("Parse(deploy/operator.toml): errors %v, deprecations %v, want none", errs, f.Deprecations)
	}
	defaults := Default()
	if f.Lab.Emulator != defaults.Lab.Emulator || len(f.Lab.Load.Classes) != len(defaults.Lab.Load.Classes) || f.Log != defaults.Log {
		t.Fatalf("Parse(deploy/operator.toml) =\n%+v\nwant the defaults\n%+v", f, defaults)
	}
}

// Guards against errors that hide each other in a file with several, and against values taken from an invalid file.
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
				t.Errorf("Parse(%q): errors %v, want one with the prefix %q", text, errs, want)
			}
		})
	}
	if f.Lab.Emulator.Servers != Default().Lab.Emulator.Servers {
		t.Errorf("an invalid file changed Lab.Emulator.Servers to %d, want the default %d", f.Lab.Emulator.Servers, Default().Lab.Emulator.Servers)
	}
}

// Guards against a syntax error without its line.
func TestSyntaxErrorHasLine(t *testing.T) {
	_, errs := Parse("[log]\nlevel = \"info\"\nseed = = 3\n")
	if len(errs) != 1 || errs[0].Line != 3 {
		t.Fatalf("Parse of a file with a syntax error in line 3: errors %v, want one with line 3", errs)
	}
}

// Guards against default classes that stay in the traffic beside the classes of the file.
func TestClassesReplaceDefaults(t *testing.T) {
	f, errs := Parse("[[lab.load.band]]\nname = \"only\"\nrepeats = \"replayable\"\nshare = 1.0\nbudget_ms = 100\n")
	if len(errs) > 0 || len(f.Lab.Load.Classes) != 1 || f.Lab.Load.Classes[0].Name != "only" {
		t.Fatalf("Parse of a file with one class: classes %+v, errors %v, want only the class \"only\" and no errors", f.Lab.Load.Classes, errs)
	}
}
