package grpcfrontend

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"cherrygap/internal/frontend"
)

// connCredentials are insecure credentials that tell each call its connection.
type connCredentials struct {
	credentials.TransportCredentials
}

func newConnCredentials() connCredentials { return connCredentials{insecure.NewCredentials()} }

// ServerHandshake returns the connection, unchanged and as the call's authentication information.
func (connCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	info := connInfo{CommonAuthInfo: credentials.CommonAuthInfo{SecurityLevel: credentials.NoSecurity}}
	info.conn, _ = conn.(*frontend.LimitedConn)
	return conn, info, nil
}

// Clone returns a copy.
func (c connCredentials) Clone() credentials.TransportCredentials {
	return connCredentials{c.TransportCredentials.Clone()}
}

// connInfo is the authentication information of a call.
type connInfo struct {
	credentials.CommonAuthInfo
	conn *frontend.LimitedConn // connection of the call
}

// AuthType returns the name of the security protocol.
func (connInfo) AuthType() string { return "insecure" }

// connOf returns the connection of a call.
func connOf(ctx context.Context) (*frontend.LimitedConn, bool) {
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return nil, false
	}
	info, ok := caller.AuthInfo.(connInfo)
	return info.conn, ok && info.conn != nil
}
