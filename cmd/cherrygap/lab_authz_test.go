//go:build grpc

package main

// grpcItems lists the commands and flags that only a program built with the tag grpc has.
var grpcItems = []string{
	"cherrygap lab authz",
	"cherrygap lab authz --delay duration=1ms",
	"cherrygap lab authz --deny-every uint64=0",
	"cherrygap lab authz --down-for duration=1s",
	"cherrygap lab authz --drop float64=0",
	"cherrygap lab authz --for duration=0s",
	"cherrygap lab authz --lag float64=0",
	"cherrygap lab authz --lag-for duration=1s",
	"cherrygap lab authz --listen string=127.0.0.1:0",
	"cherrygap lab authz --malformed float64=0",
	"cherrygap lab authz --odd float64=0",
	"cherrygap lab authz --seed uint64=1",
	"cherrygap lab authz --up-for duration=0s",
}

// grpcLabOutput lists the cases of TestLabOutputKeys that only a program built with the tag grpc has.
var grpcLabOutput = []struct{ args, want string }{{"lab authz --for 20ms", "authoriser|answers starts"}}

// grpcDeprecatedNames lists the deprecated names that only a program built with the tag grpc has.
var grpcDeprecatedNames = []deprecatedName{
	{"lab authz --odd 0.5 --for 1ms", "Flag --odd has been deprecated, write --malformed\n", ""},
}
