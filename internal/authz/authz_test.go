package authz

import (
	"math/rand/v2"
	"testing"
	"time"
)

func gate(most int) *Gate {
	return New(Config{
		Bands: []Band{{Contract: 400 * time.Millisecond, Open: true}, {Contract: 800 * time.Millisecond}}, Most: most,
		Advice: time.Second,
	})
}

// Each ticket gets one verdict, after its check where one was asked for; silence leaves what its band says.
func TestVerdicts(t *testing.T) {
	for band, silent := range []Verdict{Pass, Shut} {
		for o, want := range map[Outcome]Verdict{Allowed: Pass, Refused: Denied, Silent: silent, Broken: silent, Left: Shut} {
			g := gate(4)
			if v, wait := g.Begin(0, band, time.Hour); v != Ask || wait != g.cfg.Bands[band].Contract/4 {
				t.Fatalf("%v, %v", v, wait)
			}
			if v := g.Ended(0, band, o, g.cfg.Bands[band].Contract/4); v != want || g.Out() != 0 {
				t.Errorf("band %d, outcome %d: %v", band, o, v)
			}
		}
		g := gate(0)
		if v, _ := g.Begin(0, band, time.Hour); v != silent || g.Count().Overrun != 1 {
			t.Errorf("with no room, band %d: %v", band, v)
		}
	}
	if v, wait := gate(4).Begin(0, 1, 100*time.Millisecond); v != Ask || wait != 50*time.Millisecond {
		t.Errorf("little time left: %v, %v", v, wait)
	}
	hasty := gate(4)
	for range 3 * failsMost { // clients with little time left say nothing of the authoriser
		hasty.Begin(0, 1, 100*time.Millisecond)
		hasty.Ended(0, 1, Silent, 50*time.Millisecond)
	}
	if v, _ := hasty.Begin(0, 1, time.Hour); v != Ask {
		t.Errorf("after hasty clients: %v", v)
	}
	if v, _ := gate(4).Begin(0, 1, -1); v != Shut {
		t.Errorf("no time left: %v", v)
	}
}

// An authoriser that is silent is left alone, then tried by one check at a time, and asked again once it answers.
func TestASilentAuthoriserIsLeftAlone(t *testing.T) {
	g, r, asked := gate(16), rand.New(rand.NewPCG(1, 1)), 0
	type check struct{ at time.Duration }
	var out []check
	for now := time.Duration(0); now < 30*time.Second; now += 5 * time.Millisecond {
		if v, wait := g.Begin(now, 1, time.Second); v == Ask {
			asked++
			out = append(out, check{now + wait})
		} else if v != Shut {
			t.Fatal(v)
		}
		for len(out) > 0 && out[0].at <= now {
			out = out[1:]
			g.Ended(now, 1, Silent, 200*time.Millisecond)
		}
		if g.Out() > 16 {
			t.Fatalf("%d out", g.Out())
		}
	}
	if asked > 16+40 || g.Count().Rests < 4 { // the first ones at once, then trials
		t.Errorf("%d asked in 30 s, %+v", asked, g.Count())
	}
	for now := 30 * time.Second; now < 45*time.Second; now += 5 * time.Millisecond {
		if v, _ := g.Begin(now, 1, time.Second); v == Ask {
			g.Ended(now, 1, []Outcome{Allowed, Refused, Left}[r.IntN(3)], 0)
		}
	}
	if v, _ := g.Begin(45*time.Second, 1, time.Second); v != Ask || g.fails > 0 {
		t.Error("it answers again and is not asked")
	}
	if a := g.Advice(45*time.Second, 1); a != 200*time.Millisecond {
		t.Errorf("advice %v", a)
	}
}
