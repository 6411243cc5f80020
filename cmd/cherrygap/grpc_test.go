//go:build grpc

package main

import (
	"strings"
	"testing"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/operator"
)

// Bands that pass without an answer are the platform's, by name.
func TestChecksAreByThePlatformsBands(t *testing.T) {
	text := strings.Replace(good, `"slot_no":2`, `"slot_no":2,"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}]`, 1)
	for _, open := range []string{"look", "fly"} {
		c, err := parseConfig([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		op := operator.Default()
		op.Authz.PassOpen = []string{open}
		if err := c.take(op); err != nil {
			t.Fatal(err)
		}
		cfg, bands, err := c.checks()
		if open == "fly" {
			if err == nil || !strings.Contains(err.Error(), "look, buy") {
				t.Error(err)
			}
			continue
		}
		want := []authz.Band{{Contract: 400 * time.Millisecond, Open: true}, {Contract: 800 * time.Millisecond}}
		if err != nil || bands["buy"] != 1 || cfg.Bands[0] != want[0] || cfg.Bands[1] != want[1] || cfg.Most != 64 {
			t.Errorf("%+v, %v, %v", cfg, bands, err)
		}
	}
}
