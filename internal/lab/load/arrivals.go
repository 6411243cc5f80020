package load

import (
	"math"
	"math/rand/v2"
	"time"

	"cherrygap/internal/operatorfile"
)

// Second words of the seeds. Arrivals and the rest of the requests have separate random streams, so that their draws are
// independent.
const (
	arrivalSeed = 0x6c6f6164 // times, classes and customers
	requestSeed = 0x6964     // request ids and client retries
)

// Arrival is a request that is due at a given time.
type Arrival struct {
	At          time.Duration // time since the start of the run at which the request is due
	Class       int           // index into the traffic's classes
	Customer    uint64        // number of the customer
	ClientRetry bool          // whether the request is a client's retry; false for drawn arrivals
}

// DrawArrivals returns the arrivals of a run. They are a Poisson process with cfg.Rate arrivals per second, and cfg.BurstFactor times
// as many during bursts. The same seed yields the same arrivals. They do not include client retries.
func DrawArrivals(cfg operatorfile.Traffic, seed uint64) []Arrival {
	var arrivals []Arrival
	for s := NewStream(cfg, seed); ; {
		a, ok := s.Next()
		if !ok {
			return arrivals
		}
		arrivals = append(arrivals, a)
	}
}

// Stream draws the arrivals of a run one by one, for runs whose arrivals do not fit in memory.
type Stream struct {
	cfg         operatorfile.Traffic
	rng         *rand.Rand
	customers   *rand.Zipf
	totalShares float64 // sum of the shares of the classes
	now         float64 // seconds from the start of the run to the last drawn arrival
}

// NewStream returns a Stream of the arrivals that DrawArrivals returns for cfg and seed.
func NewStream(cfg operatorfile.Traffic, seed uint64) *Stream {
	rng := rand.New(rand.NewPCG(seed, arrivalSeed))
	s := &Stream{cfg: cfg, rng: rng, customers: rand.NewZipf(rng, cfg.Skew, 1, uint64(cfg.Customers-1))}
	for _, class := range cfg.Classes {
		s.totalShares += class.Share
	}
	return s
}

// Next returns the next arrival. The rate at the previous arrival determines the mean interval between the two. Next returns
// false if the next arrival would not be before cfg.DurationS.
func (s *Stream) Next() (Arrival, bool) {
	rate := s.cfg.Rate
	if inBurst(s.cfg, s.now) {
		rate *= s.cfg.BurstFactor
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

// drawClass draws the index of a class, with the shares of the classes as weights.
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

// inBurst reports whether there is a burst now seconds after the start. Each period of cfg.BurstPeriodS seconds ends with a
// burst of cfg.BurstLengthS seconds.
func inBurst(cfg operatorfile.Traffic, now float64) bool {
	return cfg.BurstPeriodS > 0 && cfg.BurstLengthS > 0 && math.Mod(now, cfg.BurstPeriodS) >= cfg.BurstPeriodS-cfg.BurstLengthS
}
