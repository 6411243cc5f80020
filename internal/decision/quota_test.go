package decision

import "testing"

// The local share is the demand here over all reported demand, with a prior of the even share. Without reports it is
// the even share.
func TestDemandShare(t *testing.T) {
	const now = 100 * Second
	for _, c := range []struct {
		name          string
		spread        int
		firstSeen     Time
		heardAt       Time
		peers         bool
		own, reported float64
		reports       float64
		want          float64
	}{
		{"all requests come here", 1, 0, now, true, 40, 80, 9, 1},
		{"no peers", 4, 0, now, false, 40, 80, 9, 0.25},
		{"peers are silent", 4, 0, now - peerSilenceTimeout - 1, true, 40, 80, 9, 0.25},
		{"just seen", 4, now - 2*reportInterval + 1, now, true, 40, 80, 9, 0.25},
		{"nobody reports it", 4, 0, now, true, 40, 0, 0, 1},
		{"hardly a report left", 4, 0, now, true, 40, 80, 0.099, 1},
		{"a decayed report", 4, 0, now, true, 40, 80, 0.101, (20 + 30*0.25) / (60 + 30)},
		{"reported", 4, 0, now, true, 40, 80, 9, (20 + 30*0.25) / (60 + 30)},
		{"no demand", 4, 0, now, true, 0, 0, 9, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.peersEnabled = c.peers
			q := tenantQuota{config: cfg, lastPeerMessageAt: c.heardAt}
			customer := &customer{
				spread: c.spread, firstSeen: c.firstSeen, demand: decayingMean{sum: c.own, count: 9, at: now},
				peerDemand: decayingMean{sum: c.reported, count: c.reports, at: now},
			}
			if got := q.demandShare(customer, now); !near(got, c.want) {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}

// A request is charged its units over the local share. The missing level of the bucket gives the Retry-After.
func TestTenantQuota(t *testing.T) {
	for _, c := range []struct {
		name     string
		plan     quotaPlan
		level    float64
		leased   bool
		inFlight int
		units    float64
		ok       bool
		after    Time
	}{
		{"room", quotaPlan{rate: 10, burst: 20}, 3, false, 0, 3, true, 0},
		{"no room", quotaPlan{rate: 10, burst: 20}, 1, false, 0, 3, false, 2000},
		{"larger than the bucket", quotaPlan{rate: 10, burst: 20}, 20, false, 0, 99, true, 0},
		{"no rate", quotaPlan{}, -5, false, 0, 3, true, 0},
		{"at the limit in flight", quotaPlan{maxInFlight: 8}, 0, false, 2, 1, false, 700},
		{"under the limit in flight", quotaPlan{maxInFlight: 8}, 0, false, 1, 1, true, 0},
		{"a leased bucket does not refill", quotaPlan{rate: 10, burst: 20}, 2, true, 0, 3, false, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.peersEnabled, cfg.plans = false, []quotaPlan{c.plan}
			q := tenantQuota{config: cfg}
			at := 100 * Second
			if c.leased {
				at -= 50 * Second
			}
			customer := &customer{spread: 4, inFlight: c.inFlight, leased: c.leased, bucket: tokenBucket{c.level, at}}
			r := &request{units: c.units}
			if got := q.admit(customer, r, 700, 100*Second); got.admitted != c.ok || got.retryAfter != c.after {
				t.Errorf("%v after %d", got.admitted, got.retryAfter)
			}
			if part := map[bool]float64{false: 0.25, true: 1}[c.leased]; r.demandShare != part {
				t.Errorf("share %v", r.demandShare)
			}
		})
	}
	c := &customer{bucket: tokenBucket{level: 6}}
	if c.charge(1, 0.25); c.bucket.level != 2 {
		t.Errorf("%v left", c.bucket.level)
	}
	c.bucket.level = -4
	if c.charge(1, 0.5); c.bucket.level != -2 { // a debt is not added to
		t.Errorf("%v left", c.bucket.level)
	}
}

// A ceiling starts empty and fills at the even share, less the owner's part.
func TestCeiling(t *testing.T) {
	for _, c := range []struct {
		owned bool
		after Time
		want  float64
	}{{false, Second / 2, 5}, {false, 9 * Second, 15}, {true, Second / 2, 2.5}, {true, 9 * Second, 7.5}} {
		cfg := testConfig()
		cfg.plans, cfg.usesOwners = []quotaPlan{{ceilingRate: 40, ceilingBurst: 60}}, c.owned
		q, customer := tenantQuota{config: cfg}, &customer{spread: 4}
		ratio := (&quotaOwner{config: cfg}).localCeilingRatio(customer)
		if q.ceilingAllows(customer, 6, ratio, c.after) != (c.want >= 6) || !near(customer.ceiling.level, c.want) {
			t.Errorf("owned %v: %v after %d", c.owned, customer.ceiling.level, c.after)
		}
	}
}
