package model

import (
	"bytes"
	"testing"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/operatorfile"
)

func config(t *testing.T, policy Policy, sched string) Config {
	t.Helper()
	op := operatorfile.Default()
	srv := op.Lab.Emulator
	srv.Servers = 8
	s, err := emulator.ParseSchedule(sched, srv.Servers)
	if err != nil {
		t.Fatal(err)
	}
	tr := op.Lab.Load
	tr.Rate, tr.Spread = 800, 2
	return Config{Nodes: 6, Seconds: 20, Policy: policy, Seed: 5, Traffic: tr, Server: srv, Schedule: s}
}

// A failing seed must reproduce exactly: the same run twice writes the same series, byte for byte.
func TestSameSeedSameRun(t *testing.T) {
	var a, b bytes.Buffer
	for _, w := range []*bytes.Buffer{&a, &b} {
		s, err := New(config(t, Module, faults), NewRecorder(w))
		if err != nil {
			t.Fatal(err)
		}
		s.Run()
	}
	if a.Len() == 0 || !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Fatalf("two runs of one seed differ (%d and %d bytes)", a.Len(), b.Len())
	}
}

const faults = `
[[fault]]
kind = "restart"
server = 1
at_s = 4
for_s = 3
[[fault]]
kind = "reset"
server = 2
at_s = 2
for_s = 10
p = 0.3
[[fault]]
kind = "lose"
server = 3
at_s = 5
for_s = 5
p = 0.5
[[fault]]
kind = "slow"
server = -1
at_s = 10
for_s = 4
x = 8
`

// Under restarts, resets, lost answers and a slow spell, every ticket gets its answer and no single-use
// ticket runs twice, for the module and both baselines.
func TestFaultsLeaveNoTicketAndNoSecondRun(t *testing.T) {
	for _, p := range []Policy{Module, RoundRobin, Late} {
		s, err := New(config(t, p, faults), NewRecorder(nil))
		if err != nil {
			t.Fatal(err)
		}
		tot := s.Run()
		if tot.Twice != 0 || tot.Unanswered != 0 || tot.Tickets < 10000 {
			t.Errorf("%s: %+v", p, tot)
		}
		if tot.Outcomes["broken"] == 0 && p != Module {
			t.Errorf("%s: the faults broke nothing: %+v", p, tot.Outcomes)
		}
	}
}

func TestBadConfigIsRefused(t *testing.T) {
	c := config(t, "fastest", "")
	if _, err := New(c, NewRecorder(nil)); err == nil {
		t.Fatal("unknown policy taken")
	}
	c = config(t, Module, "")
	c.Nodes = 0
	if _, err := New(c, NewRecorder(nil)); err == nil {
		t.Fatal("no nodes taken")
	}
}

// BenchmarkFleet300 is the speed target's yardstick: 300 nodes and 200 servers on the module, ten virtual
// seconds at 20,000 tickets a second. It reports virtual seconds per real second.
func BenchmarkFleet300(b *testing.B) {
	op := operatorfile.Default()
	srv := op.Lab.Emulator
	srv.Servers = 200
	tr := op.Lab.Load
	tr.Rate, tr.Customers, tr.Spread = 20000, 20000, 3
	for range b.N {
		s, err := New(Config{Nodes: 300, Seconds: 10, Policy: Module, Seed: 1, Traffic: tr, Server: srv},
			NewRecorder(nil))
		if err != nil {
			b.Fatal(err)
		}
		tot := s.Run()
		b.ReportMetric(tot.VirtualPerS, "virtual-s/s")
	}
}

// Rule 3 in the model: once discovery has told the nodes of a drain, nothing new goes to that server past
// 500 ms. The module hears it; round-robin, which does not listen, shows that the check can fail.
func TestNothingNewToADrainedServer(t *testing.T) {
	drains := "[[fault]]\nkind = \"drain\"\nserver = 3\nat_s = 5\nfor_s = 1\n[[fault]]\nkind = \"drain\"\nserver = 4\nat_s = 8\nfor_s = 1\n"
	for _, p := range []Policy{Module, RoundRobin} {
		s, err := New(config(t, p, drains), NewRecorder(nil))
		if err != nil {
			t.Fatal(err)
		}
		tot := s.Run()
		if late := tot.LateDrained; (p == Module) != (late == 0) || tot.Unanswered != 0 {
			t.Errorf("%s: %d executions late to drained servers, %d unanswered", p, late, tot.Unanswered)
		}
	}
}
