//go:build !grpc

package main

// grpcCommandLine is what the command line has beside pinnedCommandLine in a program with gRPC: here nothing.
var grpcCommandLine []string

// grpcLabOutput is what TestPinnedLabOutput looks at beside in a program with gRPC: here nothing.
var grpcLabOutput []struct{ args, want string }

// grpcDeprecatedNames are the old names that only a program with gRPC has.
var grpcDeprecatedNames []deprecatedName
