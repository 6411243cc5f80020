package quota

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// transcript runs nodes and a store in virtual time. It records every exchange and every rejection, and every 500 ms the
// available units and the counters of each node.
type transcript struct {
	cfg                Config // configuration of all nodes, without Self
	nodes              []*Ledger
	customers          []Customer
	now                time.Duration // virtual time
	random             *rand.Rand
	scheduled          map[time.Duration][]func() // actions by the time at which they are due
	storeID            StoreID                    // id that the replies carry
	entries            map[string][]Commitment    // entries in the store, by customer and window
	noReplyProbability float64                    // probability that an exchange gets no reply
	errorProbability   float64                    // probability that an exchange gets an error
	dropProbability    float64                    // probability that the store drops an entry
	lines              []string
}

// transcriptStep is the time between two steps of a transcript.
const transcriptStep = 10 * time.Millisecond

// newTranscript returns a transcript that starts at the time now, with a store that has no faults.
func newTranscript(cfg Config, customers []Customer, now time.Duration) *transcript {
	p := &transcript{
		cfg: cfg, customers: customers, now: now, random: rand.New(rand.NewPCG(cfg.Seed, 98)), storeID: 7,
		scheduled: map[time.Duration][]func(){}, entries: map[string][]Commitment{},
	}
	for i := range cfg.Nodes {
		cfg.Self = NodeID(i)
		p.nodes = append(p.nodes, New(cfg, now))
	}
	return p
}

// write appends a line with the virtual time. The wording is part of the digests.
func (p *transcript) write(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf("%.2f ", p.now.Seconds())+fmt.Sprintf(format, args...))
}

// after schedules an action after a number of steps.
func (p *transcript) after(steps int, action func()) {
	at := p.now + time.Duration(steps)*transcriptStep
	p.scheduled[at] = append(p.scheduled[at], action)
}

// put carries out an exchange with the faults of the transcript.
func (p *transcript) put(node *Ledger, exchange Exchange) {
	if p.random.Float64() < p.noReplyProbability {
		return
	}
	key, store := fmt.Sprint(exchange.Key, exchange.Window), p.storeID
	if p.random.Float64() >= p.dropProbability {
		p.entries[key] = append(p.entries[key], exchange.Put)
	}
	entries := append([]Commitment{{Node: -1, Sequence: 1}, {Node: 1 << 20, Sequence: 1, Cap: 3}}, p.entries[key]...)
	var err error
	if p.random.Float64() < p.errorProbability {
		err = errors.New("bad")
	}
	p.after(1+p.random.IntN(6), func() { node.HandleReply(p.now, exchange.ID, Reply{Store: store, Entries: entries}, err) })
}

// run runs the nodes until a time. load is the demand at node 0 as a ratio of the quota.
func (p *transcript) run(until time.Duration, load float64) {
	for ; p.now < until; p.now += transcriptStep {
		for _, action := range p.scheduled[p.now] {
			action()
		}
		delete(p.scheduled, p.now)
		for i, node := range p.nodes {
			for _, c := range p.customers {
				units := float64(1 + p.random.IntN(3))
				if p.random.Float64()*units < c.Rate*load*transcriptStep.Seconds()/float64(1+i) {
					node.RecordDemand(p.now, c, units)
					if p.random.IntN(20) == 0 {
						node.RecordUse(p.now, c, units)
					} else if spent := node.TrySpend(p.now, c, units); !spent {
						p.write("%d refuses %d", i, c.Key)
					}
				}
			}
			for exchange, ok := node.Next(p.now); ok; exchange, ok = node.Next(p.now) {
				p.write("%d: id %d, %d/%d, entry %d:%d %v, kept %v, within %v", i, exchange.ID, exchange.Key, exchange.Window,
					exchange.Put.Node, exchange.Put.Sequence, exchange.Put.Cap, exchange.TTL, exchange.Timeout)
				p.put(node, exchange)
			}
			if p.now%(500*time.Millisecond) == 0 {
				c := node.Counters()
				available := []float64{}
				for _, customer := range p.customers {
					available = append(available, node.Available(p.now, customer))
				}
				p.write("%d: room %v, %v", i, available, []int64{c.Exchanges, c.Failed, c.LateReplies, c.LossReplies, c.Borrowed, c.Released, c.Rejected})
			}
		}
	}
}

// customers are the customers of each transcript.
var customers = []Customer{
	{Key: 9, Rate: 100, Burst: 400, Spread: 4},
	{Key: 1 << 60, Rate: 8, Burst: 2, FirstNode: 3, Spread: 2},
	{Key: 3, Rate: 0, Burst: 1, Spread: 4},
	{Key: 4, Rate: 40, Burst: 20, FirstNode: 1, Spread: 1},
	{Key: 5, Rate: 30, Burst: 60, Spread: 90},
}

// transcripts are the runs of a fleet, with the faults of its store, and the expected lines.
var transcripts = []struct {
	name       string
	cfg        Config
	startTime  time.Duration
	run        func(p *transcript)
	lines      int      // expected number of lines
	digest     string   // expected SHA-256 of all lines
	firstLines []string // expected first lines
}{
	{
		name: "without faults", cfg: Config{Nodes: 4, Seed: 21, Timeout: 60 * time.Millisecond},
		run: func(p *transcript) { p.run(20*time.Second, 0.6) }, lines: 2705, digest: "07d1f74de121d63ca23ad8ea47a9c65b39c14e280e2a55be4ea33233f843c0d6", firstLines: []string{
			"0.00 0: room [50 2 +Inf 20 7.5], [0 0 0 0 0 0 0]",
			"0.00 1: room [50 2 +Inf 20 7.5], [0 0 0 0 0 0 0]",
			"0.00 2: room [50 2 +Inf 18 7.5], [0 0 0 0 0 0 0]",
			"0.00 3: room [50 2 +Inf 20 7.5], [0 0 0 0 0 0 0]",
			"0.01 0: id 1, 1152921504606846976/0, entry 0:1 2.4, kept 1.5s, within 60ms",
			"0.01 0: id 2, 5/0, entry 0:1 10.125, kept 3s, within 60ms",
		},
	},
	{
		name: "time since the Unix epoch, limited exchange rate", cfg: Config{Nodes: 4, Seed: 22, ExchangeRate: 9, Timeout: 60 * time.Millisecond},
		startTime: 1_700_000_000_350 * time.Millisecond,
		run:       func(p *transcript) { p.run(p.now+20*time.Second, 1.2) }, lines: 3236, digest: "051f6df2363a5f3016a6f7ff5c9d764cba2d2a78be568547db55ac14a706bc8d", firstLines: []string{
			"1700000000.35 0 refuses 9",
			"1700000000.35 0 refuses 1152921504606846976",
			"1700000000.35 0 refuses 5",
			"1700000000.36 0 refuses 9",
			"1700000000.36 0 refuses 5",
			"1700000000.36 3 refuses 9",
		},
	},
	{
		name: "with store faults", cfg: Config{Nodes: 6, Seed: 23, ExchangeRate: 400, Timeout: 40 * time.Millisecond},
		run: func(p *transcript) {
			p.run(6*time.Second, 0.9)
			p.noReplyProbability, p.errorProbability = 0.2, 0.1
			p.run(16*time.Second, 0.9)
			p.noReplyProbability, p.errorProbability, p.dropProbability = 0, 0, 0.2
			p.run(24*time.Second, 1.5)
			p.storeID, p.dropProbability = 8, 0
			clear(p.entries)
			p.run(30*time.Second, 0.2)
			p.noReplyProbability = 1
			p.run(50*time.Second, 0.8)
			p.noReplyProbability = 0
			p.customers = p.customers[:1]
			p.customers[0].Rate = 70
			p.run(100*time.Second, 0.8)
		}, lines: 10425, digest: "9b784e6889507ea217542f436c0bb0dad422f35e46bf0e92d89690715e1236eb", firstLines: []string{
			"0.00 0: room [47 2 +Inf 20 5], [0 0 0 0 0 0 0]",
			"0.00 1: room [50 2 +Inf 18 5], [0 0 0 0 0 0 0]",
			"0.00 2: room [47 2 +Inf 20 5], [0 0 0 0 0 0 0]",
			"0.00 3: room [50 2 +Inf 20 5], [0 0 0 0 0 0 0]",
			"0.00 4: room [50 2 +Inf 20 5], [0 0 0 0 0 0 0]",
			"0.00 5: room [50 2 +Inf 19 4], [0 0 0 0 0 0 0]",
		},
	},
}

// TestFleetTranscripts guards against nodes of different versions that enforce a quota differently with one store. All
// exchanges, rejections and available units are compared with the expected ones. The transcript's wording is part of its
// digest.
func TestFleetTranscripts(t *testing.T) {
	for _, c := range transcripts {
		t.Run(c.name, func(t *testing.T) {
			p := newTranscript(c.cfg, append([]Customer(nil), customers...), c.startTime)
			c.run(p)
			firstLines := p.lines[:6]
			digest := fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(p.lines, "\n"))))
			if len(p.lines) != c.lines || digest != c.digest || strings.Join(firstLines, "\n") != strings.Join(c.firstLines, "\n") {
				t.Errorf("transcript has %d lines, digest %s and begins\n%s\nwant %d lines, digest %s and the beginning\n%s",
					len(p.lines), digest, strings.Join(firstLines, "\n"), c.lines, c.digest, strings.Join(c.firstLines, "\n"))
			}
		})
	}
}

// TestWindowAndTimeoutLengths guards against nodes of different versions with different windows or timeouts. All versions
// derive the same lengths from the settings.
func TestWindowAndTimeoutLengths(t *testing.T) {
	for _, c := range []struct {
		rate, burst float64
		want        time.Duration
	}{
		{0, 5, 2 * time.Second},
		{-1, 5, 2 * time.Second},
		{100, 1, 500 * time.Millisecond},
		{100, 150, 750 * time.Millisecond},
		{100, 400, 2 * time.Second},
		{1, 400, 2 * time.Second},
		{3, 4, 666666666},
	} {
		if got := (Customer{Rate: c.rate, Burst: c.burst}).Window(); got != c.want {
			t.Errorf("Customer{Rate: %v, Burst: %v}.Window() = %v, want %v", c.rate, c.burst, got, c.want)
		}
	}
	for objective, want := range map[time.Duration]time.Duration{
		0: 20 * time.Millisecond, 333 * time.Millisecond: 66600 * time.Microsecond,
		time.Second: 200 * time.Millisecond, 8 * time.Second: 250 * time.Millisecond,
	} {
		if got := ExchangeTimeout(objective); got != want {
			t.Errorf("ExchangeTimeout(%v) = %v, want %v", objective, got, want)
		}
	}
}
