package node

import (
	"github.com/rs/zerolog"

	"cherrygap/internal/frontend"
)

// authorizer asks an external service whether requests are allowed, and logs the counters of these checks. Close closes the
// connection to the service. Only programs with the build tag grpc have an implementation.
type authorizer interface {
	frontend.Authorizer
	zerolog.LogObjectMarshaler
	Close()
}
