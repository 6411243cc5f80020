package node

import (
	"github.com/rs/zerolog"

	"cherrygap/internal/frontend"
)

// authorizer asks an external service whether requests are allowed. It counts the answers for the log. Close ends its
// connection. Only programs with the build tag grpc have one.
type authorizer interface {
	frontend.Authorizer
	zerolog.LogObjectMarshaler
	Close()
}
