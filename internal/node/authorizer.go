package node

import (
	"github.com/rs/zerolog"

	"cherrygap/internal/transport"
)

// authorizer asks an external authorizer about requests, and counts its answers. grpc.go has one.
type authorizer interface {
	transport.Authorizer
	zerolog.LogObjectMarshaler
	Close()
}
