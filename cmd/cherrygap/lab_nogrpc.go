//go:build !grpc

package main

import "github.com/spf13/cobra"

// newLabGRPCCommands returns no commands, because this program is built without the tag grpc.
func newLabGRPCCommands(*string) []*cobra.Command { return nil }
