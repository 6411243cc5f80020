//go:build grpc

package node

import (
	"cherrygap/internal/frontend"
	"cherrygap/internal/grpcfrontend"
)

// dialAuthorizer makes the client of the external authorizer, without waiting for a connection. A name in authz.fail_open that is
// no request class of the platform is an operatorfile.UnknownNameError.
func dialAuthorizer(c *config) (authorizer, error) {
	cfg, classes, err := c.authorizationConfig()
	if err != nil {
		return nil, err
	}
	return grpcfrontend.DialAuthorizer(c.authz.Service, cfg, classes)
}

// listenGRPC starts the gRPC front end beside the HTTP one. drain stops it, and returns once its last request has ended.
func listenGRPC(c *config, frontEnd *frontend.Server) (drain func(), err error) {
	methods, err := grpcfrontend.HTTPMethods(c.settings)
	if err != nil {
		return nil, err
	}
	server, err := grpcfrontend.Listen(c.grpc.Listen, frontEnd, methods, uint32(c.grpc.MaxCalls))
	if err != nil {
		return nil, err
	}
	return server.Drain, nil
}
