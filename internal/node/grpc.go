//go:build grpc

package node

import (
	"cherrygap/internal/frontend"
	"cherrygap/internal/grpcfrontend"
)

// dialAuthorizer returns a client of the external authorizer without waiting for a connection. The error is an
// *operatorfile.UnknownNameError if authz.fail_open names a request class that the platform's settings lack.
func dialAuthorizer(c *Config) (authorizer, error) {
	cfg, err := c.authorization()
	if err != nil {
		return nil, err
	}
	return grpcfrontend.DialAuthorizer(c.operator.Authz.Service, cfg.policy, cfg.classNumbers)
}

// listenGRPC starts the gRPC front end, which passes its requests to the HTTP front end. drain rejects new requests and
// returns once the last one has ended.
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
