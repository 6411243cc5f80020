//go:build !grpc

package main

// grpcItems is empty, because this program is built without the tag grpc.
var grpcItems []string

// grpcLabOutput is empty, because this program is built without the tag grpc.
var grpcLabOutput []struct{ args, want string }

// grpcDeprecatedNames is empty, because this program is built without the tag grpc.
var grpcDeprecatedNames []deprecatedName
