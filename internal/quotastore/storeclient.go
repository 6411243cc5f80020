package quotastore

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/redis/go-redis/v9"
)

// echoProbe is the text that a new connection sends with ECHO.
const echoProbe = "quota:echo"

// storeClient is a client of the store that knows whether the store supports ECHO. It is safe for concurrent use.
type storeClient struct {
	*redis.Client

	hasEcho atomic.Bool // true if the connection that was opened last supports ECHO
}

// newStoreClient returns a client that opens its connections when it needs them.
func newStoreClient(options *redis.Options) *storeClient {
	c := &storeClient{}
	options.OnConnect = c.probeEcho
	c.Client = redis.NewClient(options)
	return c
}

// probeEcho sets hasEcho for a new connection. A store that rejects ECHO, or replies another text, is no error.
func (c *storeClient) probeEcho(ctx context.Context, conn *redis.Conn) error {
	text, err := conn.Echo(ctx, echoProbe).Result()
	var rejection redis.Error
	if err != nil && !errors.As(err, &rejection) {
		return err
	}
	c.hasEcho.Store(err == nil && text == echoProbe)
	return nil
}
