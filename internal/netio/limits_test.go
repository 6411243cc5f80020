package netio

import "testing"

// At any limit the reserved descriptors, the client connections and the connections to app servers fit the descriptors.
func TestLimitsAccountForAllDescriptors(t *testing.T) {
	for sockets := MinReserved + 2*minConnsPerSide; sockets < 5000; sockets++ {
		for _, grpc := range []bool{false, true} {
			limits := Limits{Sockets: sockets, GRPC: grpc}
			clients := limits.HTTPConnections()
			if grpc {
				clients += limits.GRPCConnections()
			}
			reserved, servers := limits.reserved(), limits.MaxConnsPerSide()
			if reserved < MinReserved || reserved > maxReserved || clients != servers || limits.HTTPConnections() < 1 ||
				servers < minConnsPerSide || reserved+clients+servers > sockets {
				t.Fatalf("%d: %d reserved, %d to clients, %d to app servers", sockets, reserved, clients, servers)
			}
		}
	}
	if limits := (Limits{Sockets: 1024}); limits.MaxConnsPerSide() != 480 || limits.HTTPConnections() != 480 || limits.reserved() != 64 {
		t.Errorf("of 1,024: %d reserved, %d each", limits.reserved(), limits.MaxConnsPerSide())
	}
}
