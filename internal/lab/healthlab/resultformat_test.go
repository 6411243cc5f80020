package healthlab

import (
	"encoding/json"
	"testing"
	"time"
)

// The result of a run has the expected numbers to the last digit, under the JSON keys that reports of all versions share. A
// different number means that a decision or a message of a node has changed.
func TestResultsAndTheirFormat(t *testing.T) {
	for scenario, want := range map[string]string{
		"calm":   `{"scenario":"calm","nodes":20,"servers":30,"ping_period_s":0.8,"check_period_s":12,"worst_gap_s":14.419864361,"worst_gap_at_s":42.796992475,"checks":166,"doubled":16,"bytes_a_node_a_second":417.65416666666664,"bytes_a_second_of_the_busiest_node":456.05,"messages_a_second_into_the_busiest_node":3.8666666666666667,"held_back":504,"wrong_deaths":0,"settled_s":1}`,
		"vanish": `{"scenario":"vanish","nodes":20,"servers":30,"ping_period_s":0.8,"check_period_s":12,"worst_gap_s":13.497348442,"worst_gap_at_s":52.306476556,"checks":156,"doubled":6,"bytes_a_node_a_second":273.8016666666667,"bytes_a_second_of_the_busiest_node":318.75,"messages_a_second_into_the_busiest_node":3.65,"held_back":280,"wrong_deaths":0,"settled_s":4}`,
		"flap":   `{"scenario":"flap","nodes":20,"servers":30,"ping_period_s":0.8,"check_period_s":12,"worst_gap_s":14.836065443,"worst_gap_at_s":55.665992475,"checks":177,"doubled":27,"bytes_a_node_a_second":398.78000000000003,"bytes_a_second_of_the_busiest_node":444.96666666666664,"messages_a_second_into_the_busiest_node":3.6166666666666667,"held_back":661,"wrong_deaths":5,"settled_s":-1}`,
		"split":  `{"scenario":"split","nodes":20,"servers":30,"ping_period_s":0.8,"check_period_s":12,"worst_gap_s":13.434483669,"worst_gap_at_s":13.583897732,"checks":221,"doubled":71,"bytes_a_node_a_second":307.36,"bytes_a_second_of_the_busiest_node":327.8833333333333,"messages_a_second_into_the_busiest_node":3.6,"held_back":359,"wrong_deaths":0,"settled_s":3}`,
		"lossy":  `{"scenario":"lossy","nodes":20,"servers":30,"ping_period_s":0.8,"check_period_s":12,"worst_gap_s":14.236321884,"worst_gap_at_s":39.933476556,"checks":187,"doubled":37,"bytes_a_node_a_second":470.2674999999999,"bytes_a_second_of_the_busiest_node":500.85,"messages_a_second_into_the_busiest_node":3.85,"held_back":842,"wrong_deaths":0,"settled_s":1}`,
	} {
		t.Run(scenario, func(t *testing.T) {
			result, err := Simulate(Config{
				Nodes: 20, Servers: 30, Duration: 60 * time.Second, Seed: 4, Scenario: scenario, ReceiveRate: 40, SendRate: 700,
				Interval: 5 * time.Second,
			})
			if err != nil {
				t.Fatalf("Simulate of the scenario %s: got error %v, want none", scenario, err)
			}
			got, err := json.Marshal(result)
			if err != nil {
				t.Fatalf("Marshal of the result: %v", err)
			}
			if string(got) != want {
				t.Errorf("the result of the scenario %s is\n%s, want\n%s", scenario, got, want)
			}
		})
	}
}
