//go:build !grpc

package node

import (
	"errors"

	"cherrygap/internal/frontend"
)

// errNoGRPC is the error of an operator file that needs gRPC. The default build leaves gRPC out, which halves the program's
// size.
var errNoGRPC = errors.New("authz.service, grpc.listen: this program was built without the tag grpc (docs/grpc.md)")

// dialAuthorizer returns errNoGRPC, because this program is built without gRPC.
func dialAuthorizer(*Config) (authorizer, error) { return nil, errNoGRPC }

// listenGRPC returns errNoGRPC, because this program is built without gRPC.
func listenGRPC(*Config, *frontend.Server) (drain func(), err error) { return nil, errNoGRPC }
