package load

import (
	"math"
	"math/rand/v2"
	"time"

	"cherrygap/internal/operatorfile"
)

// The second halves of random seeds. Each purpose has its own, so that its draws do not depend on those of the other.
const (
	arrivalStream = 0x6c6f6164
	requestStream = 0x6964
)

// Arrival is a request that is due at a time.
type Arrival struct {
	At          time.Duration // since the start of the run
	Class       int           // index of the traffic's classes
	Customer    uint64
	ClientRetry bool // the client repeats a rejected request
}

// Plan draws the arrivals of a run without client retries: a Poisson process at cfg.Rate, multiplied by BurstX during
// bursts. The same configuration and seed give the same plan.
func Plan(cfg operatorfile.Traffic, seed uint64) []Arrival {
	var out []Arrival
	for s := NewStream(cfg, seed); ; {
		a, ok := s.Next()
		if !ok {
			return out
		}
		out = append(out, a)
	}
}

// Stream draws the arrivals of a plan one at a time, for runs whose plan does not fit into memory. It is used by one
// goroutine.
type Stream struct {
	cfg         operatorfile.Traffic
	rng         *rand.Rand
	customers   *rand.Zipf
	totalShares float64 // of the classes
	now         float64 // time of the last arrival, s
}

// NewStream returns the stream of the arrivals that Plan returns.
func NewStream(cfg operatorfile.Traffic, seed uint64) *Stream {
	rng := rand.New(rand.NewPCG(seed, arrivalStream))
	s := &Stream{cfg: cfg, rng: rng, customers: rand.NewZipf(rng, cfg.Skew, 1, uint64(cfg.Customers-1))}
	for _, class := range cfg.Classes {
		s.totalShares += class.Share
	}
	return s
}

// Next returns the next arrival, or false after the last one.
func (s *Stream) Next() (Arrival, bool) {
	rate := s.cfg.Rate
	if inBurst(s.cfg, s.now) {
		rate *= s.cfg.BurstX
	}
	s.now += s.rng.ExpFloat64() / rate
	if s.now >= s.cfg.DurationS {
		return Arrival{}, false
	}
	return Arrival{
		At:       time.Duration(s.now * float64(time.Second)),
		Class:    s.drawClass(),
		Customer: s.customers.Uint64(),
	}, true
}

// drawClass draws a class by the classes' shares.
func (s *Stream) drawClass() int {
	pick := s.rng.Float64() * s.totalShares
	for i, class := range s.cfg.Classes {
		if pick < class.Share {
			return i
		}
		pick -= class.Share
	}
	return max(0, len(s.cfg.Classes)-1)
}

// inBurst reports whether a time, in seconds, is in a burst.
func inBurst(cfg operatorfile.Traffic, now float64) bool {
	return cfg.BurstS > 0 && cfg.BurstLenS > 0 && math.Mod(now, cfg.BurstS) >= cfg.BurstS-cfg.BurstLenS
}
