package node

import (
	"github.com/rs/zerolog"

	"cherrygap/internal/frontend"
)

// authorizer asks an external authorizer about requests, and counts its answers. grpc.go has one.
type authorizer interface {
	frontend.Authorizer
	zerolog.LogObjectMarshaler
	Close()
}
