package operatorfile

import (
	"os"
	"strings"
	"testing"
)

func TestShippedFileIsGoodAndDefault(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, faults := Parse(string(raw))
	if len(faults) > 0 {
		t.Fatalf("shipped file has faults: %v", faults)
	}
	d := Default()
	if f.Lab.Emulator != d.Lab.Emulator || len(f.Lab.Load.Bands) != len(d.Lab.Load.Bands) || f.Log != d.Log {
		t.Fatalf("shipped file is not the defaults:\n%+v\n%+v", f, d)
	}
}

// Every fault of a file is told with its key and line, and nothing of a bad file is taken.
func TestFaultsNameKeyAndLine(t *testing.T) {
	text := "[log]\nlevel = \"loud\"\n\n[lab.emulator]\nservers = 0\ncolour = 3\nlisten = \"10.0.0.1:80\"\n" +
		"[[lab.load.band]]\nname = \"a\"\nrepeats = \"twice\"\n"
	f, faults := Parse(text)
	want := []string{
		"line 2: log.level", "line 5: lab.emulator.servers", "line 6: lab.emulator.colour: no such key",
		"line 7: lab.emulator.listen", "line 10: lab.load.band.0.repeats",
	}
	var got []string
	for _, x := range faults {
		got = append(got, x.String())
	}
	for _, w := range want {
		found := false
		for _, g := range got {
			found = found || strings.HasPrefix(g, w)
		}
		if !found {
			t.Errorf("missing %q in %q", w, got)
		}
	}
	if f.Lab.Emulator.Servers != Default().Lab.Emulator.Servers {
		t.Error("a bad file changed a value")
	}
}

func TestSyntaxErrorHasLine(t *testing.T) {
	_, faults := Parse("[log]\nlevel = \"info\"\nseed = = 3\n")
	if len(faults) != 1 || faults[0].Line != 3 {
		t.Fatalf("got %v", faults)
	}
}

// Bands given in the file replace the defaults whole rather than mixing with them.
func TestBandsReplaceDefaults(t *testing.T) {
	f, faults := Parse("[[lab.load.band]]\nname = \"only\"\nrepeats = \"replayable\"\nshare = 1.0\nbudget_ms = 100\n")
	if len(faults) > 0 || len(f.Lab.Load.Bands) != 1 || f.Lab.Load.Bands[0].Name != "only" {
		t.Fatalf("got %+v %v", f.Lab.Load.Bands, faults)
	}
}
