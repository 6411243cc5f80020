//go:build !grpc

package node

import (
	"errors"

	"cherrygap/internal/frontend"
)

// errNoGRPC is a part of the operator file that needs gRPC. The program is built without it by default: it is twice the
// size with it, for what the platform has no use for.
var errNoGRPC = errors.New("authz.service, grpc.listen: this program was built without the tag grpc (docs/grpc.md)")

func dialAuthorizer(*config) (authorizer, error) { return nil, errNoGRPC }

func listenGRPC(*config, *frontend.Server) (drain func(), err error) { return nil, errNoGRPC }
