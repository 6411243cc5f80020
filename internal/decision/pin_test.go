package decision

import (
	"fmt"
	"testing"
)

// pinSettings are such that each mechanism has something to do.
func pinSettings(more Settings) Settings {
	s := Settings{
		"nodes": "4", "peer_messages_per_s": "40", "peers": "true", "tick": "50", "max_attempts": "4",
		"cancel_attempts": "true", "retry_after": "true", "max_retry_after": "10000", "slow_start_share": "0.25",
		"slow_start_span": "60000", "overload_multiple": "3", "overload_span": "20000", "connect_timeout": "300",
		"idle_timeout": "150000", "endpoint_list": "poll", "poll_within": "50000", "class.count": "5",
		"plan.count": "5", "class.0.latency_objective": "6000", "class.0.retry_safety": "safe",
		"class.0.idempotency_window": "0", "class.0.idempotency_group": "", "class.1.latency_objective": "9000",
		"class.1.retry_safety": "unsafe", "class.2.latency_objective": "5000", "class.2.retry_safety": "keyed",
		"class.2.idempotency_window": "20000", "class.2.idempotency_group": "all", "class.3.latency_objective": "8000",
		"class.3.retry_safety": "keyed", "class.3.idempotency_window": "9000", "class.3.idempotency_group": "zone",
		"class.4.latency_objective": "12000", "class.4.retry_safety": "keyed", "class.4.idempotency_window": "2500",
		"class.4.idempotency_group": "cell", "plan.0.rate": "30", "plan.0.burst": "60", "plan.1.rate": "60",
		"plan.1.burst": "90", "plan.2.max_in_flight": "6", "plan.2.rate": "90", "plan.2.burst": "120",
		"plan.3.ceiling_rate": "40", "plan.3.ceiling_burst": "50",
	}
	for name, v := range more {
		s[name] = v
	}
	return s
}

// pinCustomers is how many customers a node knows.
func pinCustomers(n *Engine) int { return len(n.customers.slots.slots) }

func pinRange(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// pinPlays are the plays, with what was seen of each at cf1acfb.
var pinPlays = []struct {
	name  string
	setup pinSetup
}{
	{"four nodes that all hear each other", pinSetup{
		set: pinSettings(nil), members: pinRange(4), servers: 12, zones: 3,
		perCell: 2, work: 250, perStep: 2, customers: 40, spread: 3, seconds: 16, listAt0: CachedList,
	}},
	{"quota owners in a wide fleet", pinSetup{
		set: pinSettings(Settings{"nodes": "18"}), members: pinRange(18),
		servers: 20, zones: 4, perCell: 3, work: 250, perStep: 3.5, customers: 30, spread: 12, seconds: 10, listAt0: FullList,
	}},
	{"quotas leased, no peers, an outage", pinSetup{
		set:     pinSettings(Settings{"nodes": "3", "peers": "false", "cancel_attempts": "false"}),
		members: []int{0}, servers: 6, zones: 2, perCell: 1, work: 250, perStep: 1, customers: 20, spread: 2, seconds: 12,
		listAt0: FullList, leased: 4, outage: true,
	}},
	{"a mild fleet of 420 nodes and 330 servers", pinSetup{
		set:     pinSettings(Settings{"nodes": "420", "peer_messages_per_s": "300"}),
		members: []int{0, 1, 6, 76, 77, 255, 256, 313, 416, 419}, servers: 330, zones: 12, perCell: 5, work: 60, perStep: 2,
		customers: 60, spread: 400, seconds: 8, listAt0: FullList, mild: true, free: true,
	}},
	{"830 nodes and 1,300 servers, much upset", pinSetup{
		set: pinSettings(Settings{
			"nodes": "830", "peer_messages_per_s": "400",
			"idle_timeout": "600000",
		}), members: []int{3, 4, 420, 828}, servers: 1300, zones: 7, perCell: 9, work: 60, perStep: 2,
		customers: 60, spread: 830, seconds: 7, listAt0: CachedList, free: true, resets: 8,
	}},
	{"other settings watched", pinSetup{
		set: pinSettings(nil), members: pinRange(3), servers: 8, zones: 3,
		perCell: 2, work: 250, perStep: 1, customers: 20, spread: 3, seconds: 6, listAt0: CachedList,
		shadow: Settings{
			"plan.1.rate": "8", "plan.1.burst": "9", "max_attempts": "2", "nodes": "18",
			"class.4.retry_safety": "unsafe", "plan.3.ceiling_rate": "10",
		},
	}},
	{"other settings watched in a wide fleet", pinSetup{
		set: pinSettings(Settings{"nodes": "14"}), members: pinRange(14),
		servers: 12, zones: 3, perCell: 2, work: 200, perStep: 2, customers: 12, spread: 12, seconds: 3, listAt0: CachedList,
		shadow: Settings{
			"plan.1.rate": "8", "plan.1.burst": "9", "plan.2.max_in_flight": "2", "plan.3.ceiling_rate": "10",
		},
	}},
	{"customers that ask once and age out", pinSetup{
		set:     pinSettings(Settings{"nodes": "2", "peer_messages_per_s": "9"}),
		members: pinRange(2), servers: 5, zones: 2, perCell: 2, work: 250, perStep: 0.12, customers: 9000, spread: 2,
		seconds: 80, listAt0: FullList, mild: true,
	}},
	{"a node that hears no peer", pinSetup{
		set: pinSettings(Settings{"nodes": "5", "retry_after": "false"}), members: []int{2}, servers: 6,
		zones: 3, perCell: 1, work: 250, perStep: 1, customers: 20, spread: 4, seconds: 8, listAt0: FullList, outage: true,
	}},
	{"few requests at a slow server", pinSetup{
		set:     pinSettings(Settings{"nodes": "1", "max_attempts": "1", "cancel_attempts": "false"}),
		members: []int{0}, servers: 1, zones: 1, perCell: 1, work: 9000, perStep: 0.03, customers: 3, spread: 1, seconds: 20,
		listAt0: FullList, mild: true, outage: true,
	}},
	{"many customers and little room for messages", pinSetup{
		set:     pinSettings(Settings{"nodes": "3", "peer_messages_per_s": "9"}),
		members: pinRange(3), servers: 9, zones: 3, perCell: 2, work: 250, perStep: 1.5, customers: 300, spread: 3,
		seconds: 8, listAt0: FullList, mild: true,
	}},
	{"load that falls and servers that grow slower", pinSetup{
		set: pinSettings(Settings{"nodes": "1"}), members: []int{0}, servers: 5,
		zones: 2, perCell: 2, work: 200, perStep: 0.7, customers: 30, spread: 1, seconds: 70, listAt0: FullList, mild: true,
		period: 21 * Second, slowing: 24,
	}},
	{"far too much asked of quota owners", pinSetup{
		set: pinSettings(Settings{
			"nodes": "60", "peer_messages_per_s": "200", "plan.1.rate": "0.8",
			"plan.2.max_in_flight": "2", "plan.0.rate": "12",
		}), members: pinRange(12), servers: 30, zones: 3, perCell: 4, work: 200, perStep: 4,
		customers: 25, spread: 12, seconds: 8, listAt0: FullList, firstZero: true, resets: 3,
	}},
	{"a settled quota in a mild fleet", pinSetup{
		set:     pinSettings(Settings{"peer_messages_per_s": "6", "nodes": "3"}),
		members: pinRange(3), servers: 9, zones: 3, perCell: 2, work: 250, perStep: 1, customers: 300, spread: 3,
		seconds: 16, listAt0: FullList, mild: true,
	}},
	{"servers that work in parallel", pinSetup{
		set: pinSettings(Settings{"nodes": "1"}), members: []int{0}, servers: 5, zones: 2, perCell: 2, work: 1500, perStep: 1.2,
		customers: 30, spread: 1, seconds: 44, listAt0: FullList, mild: true, free: true, period: 21 * Second, parallel: true,
	}},
	{"many suspicions among many nodes", pinSetup{
		set: pinSettings(Settings{"nodes": "60"}), members: pinRange(12), servers: 12, zones: 3, perCell: 4, work: 200, perStep: 3,
		customers: 40, spread: 12, seconds: 12, listAt0: FullList, firstZero: true, free: true, resets: 10,
	}},
}

// TestPinnedPlays compares all decisions and message bytes of the plays with those of cf1acfb.
func TestPinnedPlays(t *testing.T) {
	for seed, c := range pinPlays {
		t.Run(c.name, func(t *testing.T) {
			p := newPinPlay(int64(seed+41), c.setup)
			got := p.run()
			count := fmt.Sprint(p.count)
			for _, n := range p.nodes {
				if seen, differs := n.ShadowCounts(); differs != nil {
					count += fmt.Sprint(" ", seen, differs)
				}
			}
			pinCompare(t, c.name+", counts", count)
			for i, digest := range got {
				pinCompare(t, fmt.Sprintf("%s, second %d", c.name, i), digest)
			}
		})
	}
}

// pinCompare compares a value with what it was at cf1acfb.
func pinCompare(t *testing.T, name, got string) {
	t.Helper()
	want, ok := pinned[name]
	if !ok {
		want, ok = pinnedPlays[name]
	}
	if !ok || got != want {
		t.Errorf("%s: is\n%s\nat cf1acfb\n%s", name, got, want)
	}
}
