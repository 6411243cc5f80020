package decision

import (
	"fmt"
	"testing"
)

// fleetSettings returns settings with which every mechanism takes effect, with the changes.
func fleetSettings(changes Settings) Settings {
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
	for key, value := range changes {
		s[key] = value
	}
	return s
}

// customerCount returns the number of customers in a node's state.
func customerCount(engine *Engine) int { return len(engine.customers.slots.slots) }

// firstNodes returns the numbers of the first n nodes.
func firstNodes(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// fleetScenarios are the simulated scenarios. The seed of each derives from its index.
var fleetScenarios = []struct {
	name     string
	scenario fleetScenario
}{
	{"four nodes that all report to all", fleetScenario{
		nodeSettings: fleetSettings(nil), members: firstNodes(4), serverCount: 12, zones: 3,
		serversPerCell: 2, serviceTime: 250, requestsPerStep: 2, customers: 40, spread: 3, seconds: 16, firstList: CachedList,
	}},
	{"quota owners in a large fleet", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "18"}), members: firstNodes(18),
		serverCount: 20, zones: 4, serversPerCell: 3, serviceTime: 250, requestsPerStep: 3.5, customers: 30, spread: 12, seconds: 10, firstList: FullList,
	}},
	{"leased quotas, no peers, an outage", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "3", "peers": "false", "cancel_attempts": "false"}),
		members:      []int{0}, serverCount: 6, zones: 2, serversPerCell: 1, serviceTime: 250, requestsPerStep: 1, customers: 20, spread: 2, seconds: 12,
		firstList: FullList, leasedCustomers: 4, outage: true,
	}},
	{"420 nodes, 330 servers, few faults", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "420", "peer_messages_per_s": "300"}),
		members:      []int{0, 1, 6, 76, 77, 255, 256, 313, 416, 419}, serverCount: 330, zones: 12, serversPerCell: 5, serviceTime: 60, requestsPerStep: 2,
		customers: 60, spread: 400, seconds: 8, firstList: FullList, fewFaults: true, unlimited: true,
	}},
	{"830 nodes, 1300 servers, many faults", fleetScenario{
		nodeSettings: fleetSettings(Settings{
			"nodes": "830", "peer_messages_per_s": "400",
			"idle_timeout": "600000",
		}), members: []int{3, 4, 420, 828}, serverCount: 1300, zones: 7, serversPerCell: 9, serviceTime: 60, requestsPerStep: 2,
		customers: 60, spread: 830, seconds: 7, firstList: CachedList, unlimited: true, resetPercent: 8,
	}},
	{"shadow evaluation", fleetScenario{
		nodeSettings: fleetSettings(nil), members: firstNodes(3), serverCount: 8, zones: 3,
		serversPerCell: 2, serviceTime: 250, requestsPerStep: 1, customers: 20, spread: 3, seconds: 6, firstList: CachedList,
		shadow: Settings{
			"plan.1.rate": "8", "plan.1.burst": "9", "max_attempts": "2", "nodes": "18",
			"class.4.retry_safety": "unsafe", "plan.3.ceiling_rate": "10",
		},
	}},
	{"shadow evaluation in a large fleet", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "14"}), members: firstNodes(14),
		serverCount: 12, zones: 3, serversPerCell: 2, serviceTime: 200, requestsPerStep: 2, customers: 12, spread: 12, seconds: 3, firstList: CachedList,
		shadow: Settings{
			"plan.1.rate": "8", "plan.1.burst": "9", "plan.2.max_in_flight": "2", "plan.3.ceiling_rate": "10",
		},
	}},
	{"customers with one request that expire", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "2", "peer_messages_per_s": "9"}),
		members:      firstNodes(2), serverCount: 5, zones: 2, serversPerCell: 2, serviceTime: 250, requestsPerStep: 0.12, customers: 9000, spread: 2,
		seconds: 80, firstList: FullList, fewFaults: true,
	}},
	{"a node without peer messages", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "5", "retry_after": "false"}), members: []int{2}, serverCount: 6,
		zones: 3, serversPerCell: 1, serviceTime: 250, requestsPerStep: 1, customers: 20, spread: 4, seconds: 8, firstList: FullList, outage: true,
	}},
	{"few requests at a slow server", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "1", "max_attempts": "1", "cancel_attempts": "false"}),
		members:      []int{0}, serverCount: 1, zones: 1, serversPerCell: 1, serviceTime: 9000, requestsPerStep: 0.03, customers: 3, spread: 1, seconds: 20,
		firstList: FullList, fewFaults: true, outage: true,
	}},
	{"many customers and a low message rate", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "3", "peer_messages_per_s": "9"}),
		members:      firstNodes(3), serverCount: 9, zones: 3, serversPerCell: 2, serviceTime: 250, requestsPerStep: 1.5, customers: 300, spread: 3,
		seconds: 8, firstList: FullList, fewFaults: true,
	}},
	{"falling load and servers that slow down", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "1"}), members: []int{0}, serverCount: 5,
		zones: 2, serversPerCell: 2, serviceTime: 200, requestsPerStep: 0.7, customers: 30, spread: 1, seconds: 70, firstList: FullList, fewFaults: true,
		period: 21 * Second, slowdownAfter: 24,
	}},
	{"demand far above the quotas of owners", fleetScenario{
		nodeSettings: fleetSettings(Settings{
			"nodes": "60", "peer_messages_per_s": "200", "plan.1.rate": "0.8",
			"plan.2.max_in_flight": "2", "plan.0.rate": "12",
		}), members: firstNodes(12), serverCount: 30, zones: 3, serversPerCell: 4, serviceTime: 200, requestsPerStep: 4,
		customers: 25, spread: 12, seconds: 8, firstList: FullList, oneNodeSet: true, resetPercent: 3,
	}},
	{"settled quotas, few faults", fleetScenario{
		nodeSettings: fleetSettings(Settings{"peer_messages_per_s": "6", "nodes": "3"}),
		members:      firstNodes(3), serverCount: 9, zones: 3, serversPerCell: 2, serviceTime: 250, requestsPerStep: 1, customers: 300, spread: 3,
		seconds: 16, firstList: FullList, fewFaults: true,
	}},
	{"servers that process in parallel", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "1"}), members: []int{0}, serverCount: 5, zones: 2, serversPerCell: 2, serviceTime: 1500, requestsPerStep: 1.2,
		customers: 30, spread: 1, seconds: 44, firstList: FullList, fewFaults: true, unlimited: true, period: 21 * Second, parallel: true,
	}},
	{"many suspicions among many nodes", fleetScenario{
		nodeSettings: fleetSettings(Settings{"nodes": "60"}), members: firstNodes(12), serverCount: 12, zones: 3, serversPerCell: 4, serviceTime: 200, requestsPerStep: 3,
		customers: 40, spread: 12, seconds: 12, firstList: FullList, oneNodeSet: true, unlimited: true, resetPercent: 10,
	}},
}

// TestFleetSimulationDecisions compares digests of all decisions and messages of the scenarios with the expected digests. It
// guards against changes that alter a decision unintentionally.
func TestFleetSimulationDecisions(t *testing.T) {
	for seed, c := range fleetScenarios {
		t.Run(c.name, func(t *testing.T) {
			p := newFleetSimulation(int64(seed+41), c.scenario)
			got := p.run()
			counts := fmt.Sprint(p.counts)
			for _, engine := range p.nodes {
				if compared, differences := engine.ShadowCounts(); differences != nil {
					counts += fmt.Sprint(" ", compared, differences)
				}
			}
			compareExpected(t, c.name+", counts", counts)
			for i, digest := range got {
				compareExpected(t, fmt.Sprintf("%s, second %d", c.name, i), digest)
			}
		})
	}
}
