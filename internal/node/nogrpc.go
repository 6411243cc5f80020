//go:build !grpc

package node

import (
	"errors"

	"cherrygap/internal/frontend"
)

// errNoGRPC rejects an operator file that needs gRPC. By default the program is built without it, which halves its size.
var errNoGRPC = errors.New("authz.service, grpc.listen: this program was built without the tag grpc (docs/grpc.md)")

// dialAuthorizer fails, as this program has no gRPC.
func dialAuthorizer(*Config) (authorizer, error) { return nil, errNoGRPC }

// listenGRPC fails, as this program has no gRPC.
func listenGRPC(*Config, *frontend.Server) (drain func(), err error) { return nil, errNoGRPC }
