package netio

import "testing"

// At any limit the reserved descriptors, the client connections and the connections to app servers fit the descriptors.
func TestLimitsAccountForAllDescriptors(t *testing.T) {
	for sockets := MinReserved + 2*minPerSide; sockets < 5000; sockets++ {
		for _, both := range []bool{false, true} {
			limits := Limits{Sockets: sockets, GRPC: both}
			clients := limits.HTTPConnections()
			if both {
				clients += limits.GRPCConnections()
			}
			reserved, servers := limits.reserved(), limits.PerSide()
			if reserved < MinReserved || reserved > maxReserved || clients != servers || limits.HTTPConnections() < 1 ||
				servers < minPerSide || reserved+clients+servers > sockets {
				t.Fatalf("%d: %d reserved, %d to clients, %d to app servers", sockets, reserved, clients, servers)
			}
		}
	}
	if limits := (Limits{Sockets: 1024}); limits.PerSide() != 480 || limits.HTTPConnections() != 480 || limits.reserved() != 64 {
		t.Errorf("of 1,024: %d reserved, %d each", limits.reserved(), limits.PerSide())
	}
}
