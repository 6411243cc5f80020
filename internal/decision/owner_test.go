package decision

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// fleet simulates a fleet of 60 nodes. The customer's set holds 40 of them, from number 10. Messages arrive at once.
type fleet struct {
	nodes          []*Engine
	nodeSettings   []Settings                                     // settings by node
	sent, inFlight int                                            // attempts of all nodes: sent so far, and in flight now
	mostInFlight   int                                            // largest value of inFlight
	messageLost    func(from int, to NodeID, payload []byte) bool // reports whether a message is lost; nil: no message is lost
	t              *testing.T
	ends           map[Time][]func() // ends of attempts, by time
}

// newFleet returns a fleet with the settings added to a quota of 2 units a second, with a burst of 6.
func newFleet(t *testing.T, extra Settings) *fleet {
	f := &fleet{t: t, ends: map[Time][]func(){}, nodes: make([]*Engine, 60)}
	values := Settings{
		settings.Nodes: "60", settings.Peers: settings.On, settings.PeerRate: "40",
		settings.PlanKey(0, settings.PlanRate): "2", settings.PlanKey(0, settings.PlanBurst): "6",
	}
	for k, v := range extra {
		values[k] = v
	}
	for k := range f.nodes {
		values[settings.Node] = strconv.Itoa(k)
		f.nodes[k] = newTestEngine(4, values)
		f.nodeSettings = append(f.nodeSettings, testSettings(values))
		f.nodes[k].random = random{uint32(k) | 1, 77}
	}
	return f
}

// runDecisions carries out the decisions of all nodes at an instant. Each attempt that starts then takes the given duration.
func (f *fleet) runDecisions(now, duration Time) {
	for _, end := range f.ends[now] {
		end()
	}
	for more := true; more; {
		more = false
		for k, engine := range f.nodes {
			engine.SetTime(now)
			for d, ok := engine.Next(); ok; d, ok = engine.Next() {
				switch d.Action {
				case Forward:
					f.sent++
					f.inFlight++
					f.mostInFlight = max(f.mostInFlight, f.inFlight)
					f.ends[now+duration] = append(f.ends[now+duration], func() {
						f.inFlight--
						engine.SetTime(now + duration)
						engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: duration, Final: true})
					})
				case SendPeerMessage:
					if d.Peer < 10 || d.Peer >= 50 {
						f.t.Fatalf("node %d sent a message to node %d, want a receiver from 10 to 49, the customer's set", k, d.Peer)
					}
					if f.messageLost == nil || !f.messageLost(k, d.Peer, d.Payload) {
						f.nodes[d.Peer].ReceivePeerMessage(NodeID(k), slices.Clone(d.Payload))
						more = true
					}
				}
			}
		}
	}
}

// fleetCustomer is the customer that sends requests.
const fleetCustomer CustomerID = 5

// sendRequests sends requests of the customer to its nodes in turn, at a rate in requests a second. Each request has one unit.
func (f *fleet) sendRequests(rate int, from, until Time) {
	id := RequestID(fleetCustomer) * 100000
	for now := from; now < until; now += 50 {
		if gap := Second / Time(rate); (now-from)%gap < 50 {
			id++
			engine := f.nodes[10+int(id)*7%40]
			engine.SetTime(now)
			engine.AddRequest(Request{ID: id, Customer: fleetCustomer, Timeout: Second, Units: 1, Spread: 40, FirstNode: 10})
		}
		f.runDecisions(now, 500)
	}
}

// A customer exceeds its quota, but each of many nodes sees few of its requests. The customer's owner keeps it to the
// quota, and grants of other nodes have no effect.
func TestOwnerHoldsQuotaOfManyNodes(t *testing.T) {
	f := newFleet(t, nil)
	f.sendRequests(30, Second, 11*Second)
	if f.sent < 20 || f.sent > 30 { // the quota allows 26; the client sent 300
		t.Fatalf("nodes sent %d of 300 requests in 10 s, want 20 to 30 with a quota of 26", f.sent)
	}
	engine := f.nodes[11]
	before := engine.customers.all[0].queryRatio
	engine.ReceivePeerMessage(9, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 40, firstNode: 10}))
	engine.ReceivePeerMessage(12, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 40, firstNode: 10}))
	engine.ReceivePeerMessage(15, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 400, firstNode: 10}))
	engine.AddRequest(Request{ID: 1000, Customer: 8, Timeout: Second, Units: 1, Spread: 0, FirstNode: -3})
	engine.AddRequest(Request{ID: 1001, Customer: 9, Timeout: Second, Units: 1, Spread: 1 << 20, FirstNode: 1 << 20})
	takeDecisions(engine, Forward)
	if engine.customers.all[0].queryRatio != before || before >= 1 {
		t.Fatalf("query ratio of the customer at node 11 is %v before and %v after grants of nodes that are not the owner, want below 1 and no change",
			before, engine.customers.all[0].queryRatio)
	}
}

// The owner keeps a limit on attempts in flight over 40 nodes. Otherwise each node would allow the whole limit. The end of a
// request whose reservation has expired releases no other reservation.
func TestOwnerHoldsInFlightOfManyNodes(t *testing.T) {
	f := newFleet(t, Settings{
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.PlanKey(0, settings.PlanMaxInFlight): "2",
	})
	f.sendRequests(200, Second, 4*Second)
	if f.mostInFlight > 2 || f.sent < 60 {
		t.Fatalf("%d attempts were in flight at a time, want at most 2; %d were sent, want at least 60", f.mostInFlight, f.sent)
	}
	ownerEngine := f.nodes[f.nodes[10].owner.of(&f.nodes[10].customers.all[0])]
	c := &ownerEngine.customers.all[ownerEngine.customers.slots.find(5)]
	c.reservations = []reservation{{11, 7, 9 * Second}}
	ownerEngine.ReceivePeerMessage(12, appendReport([]byte{kindUse}, customerReport{customer: 5, spread: 40, firstNode: 10, request: 7, ended: 1}))
	if len(c.reservations) != 1 {
		t.Fatalf("%d reservations are left after the end of another node's request, want 1", len(c.reservations))
	}
	ownerEngine.ReceivePeerMessage(11, appendReport([]byte{kindUse}, customerReport{customer: 5, spread: 40, firstNode: 10, request: 7, ended: 1}))
	if len(c.reservations) != 0 {
		t.Fatalf("%d reservations are left after the end of the reserved request, want 0", len(c.reservations))
	}
}

// While an owner does not respond, requests of a customer with little demand are admitted after the owner timeout. A
// customer with far more demand gets about the even share of its quota at each node. Otherwise the failure of one node would
// stop all requests of the customers that the node owns.
func TestSilentOwnerLeavesTheEvenShare(t *testing.T) {
	for rate, maxSent := range map[int]int{2: 40, 400: 130} { // requests a second, largest number sent in 20 s
		f := newFleet(t, nil)
		f.messageLost = func(int, NodeID, []byte) bool { return true }
		f.sendRequests(rate, Second, 21*Second)
		if f.sent < 20 || f.sent > maxSent {
			t.Errorf("without owner responses, nodes sent %d of %d requests, want 20 to %d", f.sent, rate*20, maxSent)
		}
	}
}

// The owner and the other nodes of a set together keep a hard ceiling from the first second on. This also holds while
// messages are lost, and after all nodes restart. A bucket that is full after a restart would exceed the ceiling.
func TestOwnerAndSetKeepTheCeiling(t *testing.T) {
	f := newFleet(t, Settings{
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.PlanKey(0, settings.PlanCeilingRate): "20", settings.PlanKey(0, settings.PlanCeilingBurst): "80",
	})
	rng := rand.New(rand.NewSource(3))
	f.messageLost = func(int, NodeID, []byte) bool { return rng.Intn(4) == 0 }
	for k := range Time(4) {
		f.sendRequests(200, (1+2*k)*Second, (3+2*k)*Second)
		sent := f.sent
		fresh := newFleet(t, Settings{
			settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
			settings.PlanKey(0, settings.PlanCeilingRate): "20", settings.PlanKey(0, settings.PlanCeilingBurst): "80",
		})
		fresh.messageLost, fresh.sent = f.messageLost, sent
		f = fresh // all nodes restart
		for _, engine := range f.nodes {
			engine.now, engine.timers.intervalAt, engine.timers.checkAt = (3+2*k)*Second, (4+2*k)*Second, (3+2*k)*Second
		}
	}
	if f.sent > 8*20 || f.sent < 60 {
		t.Fatalf("nodes sent %d units in 8 s with a ceiling of 20 a second and empty buckets at the start, want 60 to 160", f.sent)
	}
	engine := f.nodes[11] // the full buckets of all nodes together hold the ceiling's burst
	c := &engine.customers.all[engine.customers.findOrAdd(customerRef{id: 5, spread: 40, firstNode: 10}, engine.now)]
	engine.SetTime(99 * Second)
	engine.quota.ceilingAllows(c, 1, engine.owner.localCeilingRatio(c), engine.now)
	if total := 40*c.ceiling.level + ownerCeilingRatio*80; total > 80.01 || total < 79.99 {
		t.Fatalf("the full ceiling buckets of all nodes hold %.4f units, want 79.99 to 80.01", total)
	}
}

// newTestOwner returns the quotaOwner of node 12 in a fleet of 60 nodes, which uses owners, with one plan.
func newTestOwner(plan quotaPlan) *quotaOwner {
	cfg := parseSettings(Settings{
		settings.Nodes: "60", settings.Node: "12", settings.Peers: settings.On, settings.PeerRate: "40",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
	})
	cfg.plans = []quotaPlan{plan}
	return &quotaOwner{config: cfg}
}

// Each customer has one owner, which is in the customer's set. A set's nodes share the ownership of its customers.
// Otherwise one node would receive the queries of all customers of the set.
func TestOwnerIsOfTheSet(t *testing.T) {
	owner, owners := newTestOwner(quotaPlan{}), map[NodeID]int{}
	for id := range CustomerID(1000) {
		c := &customer{id: id, spread: 7, firstNode: 57}
		node := owner.of(c)
		if !owner.config.inSet(node, 57, 7) {
			t.Fatalf("owner of customer %d is node %d, want one of the 7 nodes from 57 on", id, node)
		}
		owners[node]++
	}
	if len(owners) != 7 {
		t.Errorf("customers by owner = %v, want 7 owners", owners)
	}
	for _, c := range []struct {
		customer customer
		owned    bool
	}{{customer{spread: 7}, true}, {customer{spread: 1}, false}, {customer{spread: 7, leased: true}, false}} {
		if got := owner.owned(&c.customer); got != c.owned {
			t.Errorf("owned(%+v) = %v, want %v", c.customer, got, c.owned)
		}
	}
}

// An owner grants a query only if bucket, in-flight limit and ceiling all have room, and then charges each of them. A charge
// for a denied query would take quota from the customer.
func TestGrant(t *testing.T) {
	const now = 50 * Second
	for _, c := range []struct {
		name             string
		plan             quotaPlan
		level            float64 // bucket level before the query
		expiries         []Time  // expiry of each reservation before the query
		wantGranted      bool    // the query is granted
		wantLevel        float64 // expected level of the bucket
		wantReservations int     // expected number of reservations
	}{
		{"room in the bucket", quotaPlan{rate: 10, burst: 20}, 5, nil, true, 3, 0},
		{"no room in the bucket", quotaPlan{rate: 10, burst: 20}, 1.9, nil, false, 1.9, 0},
		{"room in flight", quotaPlan{maxInFlight: 2}, 0, []Time{now, now + 1}, true, -2, 2},
		{"no room in flight", quotaPlan{maxInFlight: 2}, 0, []Time{now + 1, now + 1}, false, 0, 2},
		{"under the ceiling", quotaPlan{ceilingRate: 4, ceilingBurst: 4}, 0, nil, true, -2, 0},
		{"over the ceiling", quotaPlan{ceilingRate: 4, ceilingBurst: 3.9}, 0, nil, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner, cust := newTestOwner(c.plan), &customer{spread: 7, bucket: tokenBucket{c.level, now}}
			for _, until := range c.expiries {
				cust.reservations = append(cust.reservations, reservation{until: until})
			}
			ok := owner.grant(cust, customerReport{demand: 2, use: 2, request: 9}, 13, 700, now)
			if ok != c.wantGranted || !nearlyEqual(cust.bucket.level, c.wantLevel) || len(cust.reservations) != c.wantReservations || cust.peerDemand.sum != 2 {
				t.Errorf("grant() = %v with level %v, reservations %+v, demand %v; want %v with level %v, %d reservations, demand 2",
					ok, cust.bucket.level, cust.reservations, cust.peerDemand.sum, c.wantGranted, c.wantLevel, c.wantReservations)
			}
			if c.wantReservations > 0 && ok && cust.reservations[c.wantReservations-1] != (reservation{13, 9, now + 2100}) {
				t.Errorf("last reservation = %+v, want node 13, request 9, until %d", cust.reservations[c.wantReservations-1], now+2100)
			}
		})
	}
}

// Requests of a customer with much demand and a nearly full bucket are admitted optimistically. Below 70% of the burst, the
// owner must revoke this, so that the nodes of the set query again. Otherwise they would continue to admit requests beyond the
// quota. The query ratio falls as demand exceeds the quota.
func TestOptimisticAdmission(t *testing.T) {
	const now = 50 * Second
	for _, c := range []struct {
		name                        string
		level                       float64 // bucket level
		optimisticBefore            bool    // optimistic admission before the update
		demand                      float64 // units a second
		wantOptimistic, wantRevoked bool    // expected: optimistic admission after the update, revocation by the update
		wantRatio                   float64 // expected query ratio
	}{
		{"full and frequent", 100, false, 5, true, false, 1},
		{"too little demand", 100, false, 1, false, false, 1},
		{"not full enough to begin", 84, false, 5, false, false, 1},
		{"full enough to continue", 71, true, 5, true, false, 1},
		{"not full enough to continue", 69, true, 5, false, true, 1},
		{"demand far above the quota", 0, false, 500, false, false, 1.5 * 10 / 500},
		{"least query ratio", 0, false, 5000, false, false, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner := newTestOwner(quotaPlan{rate: 10, burst: 100})
			owner.config.peerRate = 1e6
			cust := &customer{
				spread: 7, optimistic: c.optimisticBefore, meanUnits: 1, bucket: tokenBucket{c.level, now},
				peerDemand: decayingMean{sum: c.demand * seconds(demandTimeConstant), at: now},
			}
			if revoked := owner.update(cust, now) == optimisticRevoked; revoked != c.wantRevoked || cust.optimistic != c.wantOptimistic || !nearlyEqual(cust.queryRatio, c.wantRatio) {
				t.Errorf("update() led to optimistic %v, revoked %v, query ratio %v, want %v, %v, %v",
					cust.optimistic, revoked, cust.queryRatio, c.wantOptimistic, c.wantRevoked, c.wantRatio)
			}
		})
	}
}

// While the owner does not respond, requests are admitted at the even share of the rate. With a limit on attempts in
// flight, one attempt may be in flight at a time. Otherwise the nodes of the set together would exceed the quota.
func TestAdmissionWithoutOwner(t *testing.T) {
	for _, c := range []struct {
		plan         quotaPlan
		demandBefore float64 // demand before the request, in units a second
		inFlight     int     // attempts in flight here
		want         float64 // share of the requests that is admitted
	}{{quotaPlan{rate: 14}, 8, 0, 0.25}, {quotaPlan{rate: 14}, 0, 0, 1}, {quotaPlan{}, 8, 0, 1}, {quotaPlan{maxInFlight: 1}, 8, 1, 0}} {
		owner, rng, admitted := newTestOwner(c.plan), newRandom(5), 0
		cust := &customer{spread: 7, inFlight: c.inFlight, demand: decayingMean{sum: c.demandBefore*seconds(demandTimeConstant) + 1}}
		for range 4000 {
			if owner.drawWithoutOwner(cust, 1, 0, &rng) {
				admitted++
			}
		}
		if got := float64(admitted) / 4000; got < c.want-0.03 || got > c.want+0.03 {
			t.Errorf("plan %+v, demand %v, %d in flight: share %v of the requests is admitted, want %v with a tolerance of 0.03",
				c.plan, c.demandBefore, c.inFlight, got, c.want)
		}
	}
}
