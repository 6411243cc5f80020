package decision

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// fleet is a fleet of 60 nodes. The customer's set holds 40 of them, from number 10. Messages arrive at once.
type fleet struct {
	nodes          []*Engine
	sets           []Settings
	sent, inFlight int
	mostInFlight   int                                         // largest value of inFlight
	lost           func(from int, to NodeID, text []byte) bool // reports whether a message is lost; nil: none is
	t              *testing.T
	ends           map[Time][]func() // ends of attempts, by time
}

func newFleet(t *testing.T, more Settings) *fleet {
	f := &fleet{t: t, ends: map[Time][]func(){}, nodes: make([]*Engine, 60)}
	set := Settings{
		settings.Nodes: "60", settings.Peers: settings.On, settings.PeerRate: "40",
		settings.PlanKey(0, settings.PlanRate): "2", settings.PlanKey(0, settings.PlanBurst): "6",
	}
	for k, v := range more {
		set[k] = v
	}
	for k := range f.nodes {
		set[settings.Node] = strconv.Itoa(k)
		f.nodes[k] = plain(4, set)
		f.sets = append(f.sets, plainSettings(set))
		f.nodes[k].random = random{uint32(k) | 1, 77}
	}
	return f
}

// settle carries out the decisions of all nodes at an instant. Each attempt takes the given time.
func (f *fleet) settle(now, took Time) {
	for _, end := range f.ends[now] {
		end()
	}
	for again := true; again; {
		again = false
		for k, n := range f.nodes {
			n.SetTime(now)
			for d, ok := n.Next(); ok; d, ok = n.Next() {
				switch d.Action {
				case Forward:
					f.sent++
					f.inFlight++
					f.mostInFlight = max(f.mostInFlight, f.inFlight)
					f.ends[now+took] = append(f.ends[now+took], func() {
						f.inFlight--
						n.SetTime(now + took)
						n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: took, Final: true})
					})
				case SendPeerMessage:
					if d.Peer < 10 || d.Peer >= 50 {
						f.t.Fatalf("sent to %d, outside the set", d.Peer)
					}
					if f.lost == nil || !f.lost(k, d.Peer, d.Payload) {
						f.nodes[d.Peer].ReceivePeerMessage(NodeID(k), slices.Clone(d.Payload))
						again = true
					}
				}
			}
		}
	}
}

// fleetCustomer is the customer that sends requests.
const fleetCustomer CustomerID = 5

// ask sends the customer's requests to its nodes in turn, at a rate in requests a second, with one unit each.
func (f *fleet) ask(rate int, from, until Time) {
	id := RequestID(fleetCustomer) * 100000
	for now := from; now < until; now += 50 {
		if gap := Second / Time(rate); (now-from)%gap < 50 {
			id++
			n := f.nodes[10+int(id)*7%40]
			n.SetTime(now)
			n.AddRequest(Request{ID: id, Customer: fleetCustomer, Timeout: Second, Units: 1, Spread: 40, FirstNode: 10})
		}
		f.settle(now, 500)
	}
}

// A customer is over its quota and rare at each of many nodes. Its owner keeps it to the quota, and grants of other
// nodes have no effect.
func TestOwnerHoldsQuotaOfManyNodes(t *testing.T) {
	f := newFleet(t, nil)
	f.ask(30, Second, 11*Second)
	if f.sent < 20 || f.sent > 30 { // 26 are within the quota, 300 were sent by the client
		t.Fatalf("%d sent", f.sent)
	}
	n := f.nodes[11]
	before := n.customers.all[0].queryRatio
	n.ReceivePeerMessage(9, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 40, firstNode: 10}))
	n.ReceivePeerMessage(12, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 40, firstNode: 10}))
	n.ReceivePeerMessage(15, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 400, firstNode: 10}))
	n.AddRequest(Request{ID: 1000, Customer: 8, Timeout: Second, Units: 1, Spread: 0, FirstNode: -3})
	n.AddRequest(Request{ID: 1001, Customer: 9, Timeout: Second, Units: 1, Spread: 1 << 20, FirstNode: 1 << 20})
	pull(n, Forward)
	if n.customers.all[0].queryRatio != before || before >= 1 {
		t.Fatalf("grant %.2f became %.2f by another node's grant", before, n.customers.all[0].queryRatio)
	}
}

// The owner keeps a limit on attempts in flight over 40 nodes. The end of a request whose reservation has expired
// releases no other reservation.
func TestOwnerHoldsInFlightOfManyNodes(t *testing.T) {
	f := newFleet(t, Settings{
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.PlanKey(0, settings.PlanMaxInFlight): "2",
	})
	f.ask(200, Second, 4*Second)
	if f.mostInFlight > 2 || f.sent < 60 {
		t.Fatalf("%d out at once, %d sent", f.mostInFlight, f.sent)
	}
	home := f.nodes[f.nodes[10].owner.of(&f.nodes[10].customers.all[0])]
	c := &home.customers.all[home.customers.slots.find(5)]
	c.reservations = []reservation{{11, 7, 9 * Second}}
	home.ReceivePeerMessage(12, appendReport([]byte{kindUse}, customerReport{customer: 5, spread: 40, firstNode: 10, request: 7, ended: 1}))
	if len(c.reservations) != 1 {
		t.Fatal("another node's end freed a reservation")
	}
	home.ReceivePeerMessage(11, appendReport([]byte{kindUse}, customerReport{customer: 5, spread: 40, firstNode: 10, request: 7, ended: 1}))
	if len(c.reservations) != 0 {
		t.Fatal("an end freed no reservation")
	}
}

// While an owner is silent, a rare customer's requests are admitted after a short wait. A customer with far more demand
// gets about its even share.
func TestSilentOwnerLeavesTheEvenShare(t *testing.T) {
	for rate, most := range map[int]int{2: 40, 400: 130} { // 20 s
		f := newFleet(t, nil)
		f.lost = func(int, NodeID, []byte) bool { return true }
		f.ask(rate, Second, 21*Second)
		if f.sent < 20 || f.sent > most {
			t.Errorf("%d of %d sent", f.sent, rate*20)
		}
	}
}

// The owner and the other nodes of a set together keep a hard ceiling from the first second on, and after restarts.
func TestOwnerAndSetKeepTheCeiling(t *testing.T) {
	f := newFleet(t, Settings{
		settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
		settings.PlanKey(0, settings.PlanCeilingRate): "20", settings.PlanKey(0, settings.PlanCeilingBurst): "80",
	})
	r := rand.New(rand.NewSource(3))
	f.lost = func(int, NodeID, []byte) bool { return r.Intn(4) == 0 }
	for k := range Time(4) {
		f.ask(200, (1+2*k)*Second, (3+2*k)*Second)
		sent := f.sent
		fresh := newFleet(t, Settings{
			settings.PlanKey(0, settings.PlanRate): "1000", settings.PlanKey(0, settings.PlanBurst): "1000",
			settings.PlanKey(0, settings.PlanCeilingRate): "20", settings.PlanKey(0, settings.PlanCeilingBurst): "80",
		})
		fresh.lost, fresh.sent = f.lost, sent
		f = fresh // all restart
		for _, n := range f.nodes {
			n.now, n.timers.intervalAt, n.timers.checkAt = (3+2*k)*Second, (4+2*k)*Second, (3+2*k)*Second
		}
	}
	if f.sent > 8*20 || f.sent < 60 {
		t.Fatalf("%d units in 8 s of 20 a second, all stores empty at the start", f.sent)
	}
	n := f.nodes[11] // all stores full hold the ceiling's and no more
	c := &n.customers.all[n.customers.findOrAdd(customerRef{id: 5, spread: 40, firstNode: 10}, n.now)]
	n.SetTime(99 * Second)
	n.quota.ceilingAllows(c, 1, n.owner.localCeilingRatio(c), n.now)
	if all := 40*c.ceiling.level + ownerCeilingRatio*80; all > 80.01 || all < 79.99 {
		t.Fatalf("the stores hold %.2f of 80", all)
	}
}

// ownerOfAll is the owner mechanism of a node in a fleet too large for all to hear each other.
func ownerOfAll(plan quotaPlan) *quotaOwner {
	cfg := parseSettings(Settings{
		settings.Nodes: "60", settings.Node: "12", settings.Peers: settings.On, settings.PeerRate: "40",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
	})
	cfg.plans = []quotaPlan{plan}
	return &quotaOwner{config: cfg}
}

// Each customer has one owner, which is in its set and the same at every node.
func TestOwnerIsOfTheSet(t *testing.T) {
	o, owners := ownerOfAll(quotaPlan{}), map[NodeID]int{}
	for id := range CustomerID(1000) {
		c := &customer{id: id, spread: 7, firstNode: 57}
		owner := o.of(c)
		if !o.config.inSet(owner, 57, 7) {
			t.Fatalf("customer %d: node %d", id, owner)
		}
		owners[owner]++
	}
	if len(owners) != 7 {
		t.Errorf("owners %v", owners)
	}
	for _, c := range []struct {
		customer customer
		owned    bool
	}{{customer{spread: 7}, true}, {customer{spread: 1}, false}, {customer{spread: 7, leased: true}, false}} {
		if got := o.owned(&c.customer); got != c.owned {
			t.Errorf("%+v: owned %v", c.customer, got)
		}
	}
}

func TestGrant(t *testing.T) {
	const now = 50 * Second
	for _, c := range []struct {
		name     string
		plan     quotaPlan
		level    float64
		reserved []Time // until when
		ok       bool
		left     float64
		held     int
	}{
		{"room", quotaPlan{rate: 10, burst: 20}, 5, nil, true, 3, 0},
		{"no room", quotaPlan{rate: 10, burst: 20}, 1.9, nil, false, 1.9, 0},
		{"room in flight", quotaPlan{maxInFlight: 2}, 0, []Time{now, now + 1}, true, -2, 2},
		{"none in flight", quotaPlan{maxInFlight: 2}, 0, []Time{now + 1, now + 1}, false, 0, 2},
		{"under the ceiling", quotaPlan{ceilingRate: 4, ceilingBurst: 4}, 0, nil, true, -2, 0},
		{"over the ceiling", quotaPlan{ceilingRate: 4, ceilingBurst: 3.9}, 0, nil, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, at := ownerOfAll(c.plan), &customer{spread: 7, bucket: tokenBucket{c.level, now}}
			for _, until := range c.reserved {
				at.reservations = append(at.reservations, reservation{until: until})
			}
			ok := o.grant(at, customerReport{demand: 2, use: 2, request: 9}, 13, 700, now)
			if ok != c.ok || !near(at.bucket.level, c.left) || len(at.reservations) != c.held || at.peerDemand.sum != 2 {
				t.Errorf("granted %v, %v left, reserved %v", ok, at.bucket.level, at.reservations)
			}
			if c.held > 0 && ok && at.reservations[c.held-1] != (reservation{13, 9, now + 2100}) {
				t.Errorf("reserved %v", at.reservations)
			}
		})
	}
}

// A frequent customer with a nearly full bucket is admitted optimistically. When the bucket empties, the set is
// notified and queries a share of the requests.
func TestOptimisticAdmission(t *testing.T) {
	const now = 50 * Second
	for _, c := range []struct {
		name        string
		level       float64
		was         bool
		demand      float64 // a second
		free, ended bool
		part        float64
	}{
		{"full and frequent", 100, false, 5, true, false, 1},
		{"rare", 100, false, 1, false, false, 1},
		{"not full enough to begin", 84, false, 5, false, false, 1},
		{"full enough to go on", 71, true, 5, true, false, 1},
		{"not full enough to go on", 69, true, 5, false, true, 1},
		{"far too much", 0, false, 500, false, false, 1.5 * 10 / 500},
		{"hopelessly too much", 0, false, 5000, false, false, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := ownerOfAll(quotaPlan{rate: 10, burst: 100})
			o.config.peerRate = 1e6
			at := &customer{
				spread: 7, optimistic: c.was, meanUnits: 1, bucket: tokenBucket{c.level, now},
				peerDemand: decayingMean{sum: c.demand * seconds(demandTimeConstant), at: now},
			}
			if ended := o.update(at, now) == optimisticRevoked; ended != c.ended || at.optimistic != c.free || !near(at.queryRatio, c.part) {
				t.Errorf("optimistic %v, revoked %v, ratio %v", at.optimistic, ended, at.queryRatio)
			}
		})
	}
}

// While the owner is silent, requests are admitted at the even share of the rate. With a limit on attempts in flight,
// one may be in flight at a time.
func TestAdmissionWithoutOwner(t *testing.T) {
	for _, c := range []struct {
		plan     quotaPlan
		before   float64 // units a second
		inFlight int
		want     float64 // of the requests
	}{{quotaPlan{rate: 14}, 8, 0, 0.25}, {quotaPlan{rate: 14}, 0, 0, 1}, {quotaPlan{}, 8, 0, 1}, {quotaPlan{maxInFlight: 1}, 8, 1, 0}} {
		o, rng, passed := ownerOfAll(c.plan), newRandom(5), 0
		at := &customer{spread: 7, inFlight: c.inFlight, demand: decayingMean{sum: c.before*seconds(demandTimeConstant) + 1}}
		for range 4000 {
			if o.drawWithoutOwner(at, 1, 0, &rng) {
				passed++
			}
		}
		if got := float64(passed) / 4000; got < c.want-0.03 || got > c.want+0.03 {
			t.Errorf("%+v: %v passed, not %v", c.plan, got, c.want)
		}
	}
}
