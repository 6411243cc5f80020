package netio

import "testing"

// TestLimitsAccountForAllDescriptors guards against running out of file descriptors. For any descriptor limit, the reserved
// descriptors, the client connections and the connections to app servers together must not exceed the limit.
func TestLimitsAccountForAllDescriptors(t *testing.T) {
	for descriptors := MinReserved + 2*minConnsPerSide; descriptors < 5000; descriptors++ {
		for _, grpc := range []bool{false, true} {
			limits := Limits{MaxDescriptors: descriptors, GRPC: grpc}
			clients := limits.HTTPConnections()
			if grpc {
				clients += limits.GRPCConnections()
			}
			reserved, servers := limits.reserved(), limits.MaxConnsPerSide()
			if reserved < MinReserved || reserved > maxReserved || clients != servers || limits.HTTPConnections() < 1 ||
				servers < minConnsPerSide || reserved+clients+servers > descriptors {
				t.Fatalf("limit of %d descriptors, gRPC %t: %d reserved (want from %d to %d); %d for clients and %d for app servers (want equal numbers); "+
					"%d for HTTP clients (want at least 1); %d for app servers (want at least %d); %d in total (want at most %d)", descriptors, grpc,
					reserved, MinReserved, maxReserved, clients, servers, limits.HTTPConnections(), servers, minConnsPerSide, reserved+clients+servers, descriptors)
			}
		}
	}
	if limits := (Limits{MaxDescriptors: 1024}); limits.MaxConnsPerSide() != 480 || limits.HTTPConnections() != 480 || limits.reserved() != 64 {
		t.Errorf("limit of 1024 descriptors: %d reserved, %d for app servers, %d for HTTP clients; want 64, 480 and 480",
			limits.reserved(), limits.MaxConnsPerSide(), limits.HTTPConnections())
	}
}
