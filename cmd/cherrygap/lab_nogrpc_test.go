//go:build !grpc

package main

// grpcCommandLine lists the commands and flags of a program with gRPC alone: here nothing.
var grpcCommandLine []string

// grpcLabOutput adds the cases of a program with gRPC to TestLabOutputKeys: here nothing.
var grpcLabOutput []struct{ args, want string }

// grpcDeprecatedNames are the old names that only a program with gRPC has.
var grpcDeprecatedNames []deprecatedName
