package decision

import "testing"

// The demand share is the demand here over all reported demand, with a prior of the even share. While peers' reports are
// missing, it is the even share. If each node used the share 1, the fleet would grant the quota once per node.
func TestDemandShare(t *testing.T) {
	const now = 100 * Second
	for _, c := range []struct {
		name                    string
		spread                  int
		firstSeen               Time
		lastMessageAt           Time    // time of the last peer message
		peersEnabled            bool    // peer messages are enabled
		localDemand, peerDemand float64 // decayed demand here and at peers, in units
		reportCount             float64 // decayed number of reports
		want                    float64
	}{
		{"all requests come here", 1, 0, now, true, 40, 80, 9, 1},
		{"no peers", 4, 0, now, false, 40, 80, 9, 0.25},
		{"peers are silent", 4, 0, now - peerSilenceTimeout - 1, true, 40, 80, 9, 0.25},
		{"customer seen only just now", 4, now - 2*reportInterval + 1, now, true, 40, 80, 9, 0.25},
		{"no peer reports the customer", 4, 0, now, true, 40, 0, 0, 1},
		{"report decayed below the minimum", 4, 0, now, true, 40, 80, 0.099, 1},
		{"report decayed to just above the minimum", 4, 0, now, true, 40, 80, 0.101, (20 + 30*0.25) / (60 + 30)},
		{"demand reported by peers", 4, 0, now, true, 40, 80, 9, (20 + 30*0.25) / (60 + 30)},
		{"no demand", 4, 0, now, true, 0, 0, 9, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.peersEnabled = c.peersEnabled
			quota := tenantQuota{config: cfg, lastPeerMessageAt: c.lastMessageAt}
			customer := &customer{
				spread: c.spread, firstSeen: c.firstSeen, demand: decayingMean{sum: c.localDemand, count: 9, at: now},
				peerDemand: decayingMean{sum: c.peerDemand, count: c.reportCount, at: now},
			}
			if got := quota.demandShare(customer, now); !nearlyEqual(got, c.want) {
				t.Errorf("demandShare() = %v, want %v", got, c.want)
			}
		})
	}
}

// A request is charged its units divided by the demand share. A charge of the units alone would let each node grant the whole
// quota. The Retry-After is the time until the bucket holds the missing units.
func TestTenantQuota(t *testing.T) {
	for _, c := range []struct {
		name           string
		plan           quotaPlan
		level          float64
		leased         bool
		inFlight       int
		units          float64
		wantAdmitted   bool
		wantRetryAfter Time
	}{
		{"room in the bucket", quotaPlan{rate: 10, burst: 20}, 3, false, 0, 3, true, 0},
		{"no room in the bucket", quotaPlan{rate: 10, burst: 20}, 1, false, 0, 3, false, 2000},
		{"request larger than the burst", quotaPlan{rate: 10, burst: 20}, 20, false, 0, 99, true, 0},
		{"plan without a rate", quotaPlan{}, -5, false, 0, 3, true, 0},
		{"at the limit in flight", quotaPlan{maxInFlight: 8}, 0, false, 2, 1, false, 700},
		{"under the limit in flight", quotaPlan{maxInFlight: 8}, 0, false, 1, 1, true, 0},
		{"a leased bucket does not refill", quotaPlan{rate: 10, burst: 20}, 2, true, 0, 3, false, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.peersEnabled, cfg.plans = false, []quotaPlan{c.plan}
			quota := tenantQuota{config: cfg}
			refilledAt := 100 * Second
			if c.leased {
				refilledAt -= 50 * Second
			}
			customer := &customer{spread: 4, inFlight: c.inFlight, leased: c.leased, bucket: tokenBucket{c.level, refilledAt}}
			r := &request{units: c.units}
			if got := quota.admit(customer, r, 700, 100*Second); got.admitted != c.wantAdmitted || got.retryAfter != c.wantRetryAfter {
				t.Errorf("admit() = admitted %v, retryAfter %d, want %v, %d", got.admitted, got.retryAfter, c.wantAdmitted, c.wantRetryAfter)
			}
			if wantShare := map[bool]float64{false: 0.25, true: 1}[c.leased]; r.demandShare != wantShare {
				t.Errorf("demandShare of the request = %v, want %v", r.demandShare, wantShare)
			}
		})
	}
	c := &customer{bucket: tokenBucket{level: 6}}
	if c.charge(1, 0.25); c.bucket.level != 2 {
		t.Errorf("charge(1, 0.25) of level 6 left level %v, want 2", c.bucket.level)
	}
	c.bucket.level = -4
	if c.charge(1, 0.5); c.bucket.level != -2 { // the earlier debt is forgiven
		t.Errorf("charge(1, 0.5) of level -4 left level %v, want -2", c.bucket.level)
	}
}

// A node's part of a hard ceiling starts empty. It fills at the even share of the rate, without the owner's part. A part that
// starts full would exceed the ceiling after each restart.
func TestCeiling(t *testing.T) {
	for _, c := range []struct {
		usesOwners bool
		elapsed    Time
		want       float64
	}{{false, Second / 2, 5}, {false, 9 * Second, 15}, {true, Second / 2, 2.5}, {true, 9 * Second, 7.5}} {
		cfg := testConfig()
		cfg.plans, cfg.usesOwners = []quotaPlan{{ceilingRate: 40, ceilingBurst: 60}}, c.usesOwners
		quota, customer := tenantQuota{config: cfg}, &customer{spread: 4}
		ratio := (&quotaOwner{config: cfg}).localCeilingRatio(customer)
		if got := quota.ceilingAllows(customer, 6, ratio, c.elapsed); got != (c.want >= 6) || !nearlyEqual(customer.ceiling.level, c.want) {
			t.Errorf("usesOwners %v: ceilingAllows() of 6 quota units after %d ms = %v with ceiling level %v, want %v with level %v",
				c.usesOwners, c.elapsed/10, got, customer.ceiling.level, c.want >= 6, c.want)
		}
	}
}
