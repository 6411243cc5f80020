//go:build !grpc

package main

import "github.com/spf13/cobra"

// newLabGRPCCommands returns the laboratory's commands that need gRPC: here none.
func newLabGRPCCommands(*string) []*cobra.Command { return nil }
