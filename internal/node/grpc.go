//go:build grpc

package node

import (
	"cherrygap/internal/frontend"
	"cherrygap/internal/grpcfrontend"
)

// dialAuthorizer makes the client of the external authorizer, without waiting for a connection. A name in authz.fail_open that is
// no request class of the platform is an operatorfile.UnknownNameError.
func dialAuthorizer(c *Config) (authorizer, error) {
	cfg, err := c.authorization()
	if err != nil {
		return nil, err
	}
	return grpcfrontend.DialAuthorizer(c.operator.Authz.Service, cfg.limits, cfg.classNumbers)
}

// listenGRPC starts the gRPC front end beside the HTTP one. drain stops it, and returns once its last request has ended.
func listenGRPC(c *Config, frontEnd *frontend.Server) (drain func(), err error) {
	methods, err := grpcfrontend.HTTPMethods(c.settings)
	if err != nil {
		return nil, err
	}
	server, err := grpcfrontend.Listen(c.operator.GRPC.Listen, frontEnd, methods, uint32(c.operator.GRPC.MaxCalls))
	if err != nil {
		return nil, err
	}
	return server.Drain, nil
}
