package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// Kind is the behaviour of a crowd's connections.
type Kind struct {
	Name string
	act  func(ctx context.Context, c *client) // acts until the connection ends

	reconnectsAtOnce bool // true without a delay between a connection's end and the next one
}

// Sizes of what the connections send, in bytes. The platform allows bodies of 64 KiB.
const (
	headBytes     = 15_000
	largeBody     = 64 << 10
	unsentBytes   = 536 // bytes of a large body that are never sent
	halfBody      = largeBody / 2
	pieceBytes    = 2 << 10
	pieceInterval = 55 * time.Millisecond
	smallBody     = 4
	pipelined     = 64 // requests in one write
	smallReceive  = 4 << 10
	window        = 8 // requests that a flood sends at once

	customerShift = 4 // shift of the number of a request that gives its customer in a flood of new names
	maxCustomer   = 1<<33 - 1
)

// Kinds returns all kinds of crowds that hold memory by many connections.
func Kinds() []Kind {
	return []Kind{
		{Name: "silent", act: actSilent},
		{Name: "half-head", act: actHalfHead},
		{Name: "short-fields", act: actShortFields},
		{Name: "distinct-fields", act: actDistinctFields},
		{Name: "half-body", act: actHalfBody},
		{Name: "slow-body", act: actSlowBody},
		{Name: "small-chunks", act: actSmallChunks},
		{Name: "unread-answers", act: actUnreadAnswers},
		{Name: "pipelined-unread", act: actPipelinedUnread},
		{Name: "large-requests", act: actLargeRequests},
	}
}

// Floods returns all kinds of single connections that send at full speed.
func Floods() []Kind {
	return []Kind{
		{Name: "flood-new-names", act: actFloodNames},
		{Name: "flood-health-checks", act: actFloodHealthChecks},
		{Name: "flood-malformed", act: actFloodMalformed, reconnectsAtOnce: true},
		{Name: "flood-unknown-class", act: actFloodUnknownClass, reconnectsAtOnce: true},
		{Name: "flood-unanswered", act: actFloodUnanswered},
	}
}

// actSilent sends nothing.
func actSilent(_ context.Context, c *client) { c.discard() }

// actHalfHead sends the first part of a long head.
func actHalfHead(_ context.Context, c *client) {
	if c.send("POST /" + strings.Repeat("x", headBytes)) {
		c.discard()
	}
}

// actShortFields sends a head of very many short fields of the same name, and half of a large body.
func actShortFields(_ context.Context, c *client) {
	c.sendHalf(emptyFields(func(int) string { return "a:\r\n" }))
}

// actDistinctFields is as actShortFields, with other names for each field.
func actDistinctFields(_ context.Context, c *client) {
	c.sendHalf(emptyFields(func(i int) string { return fmt.Sprintf("%x:\r\n", i) }))
}

// sendHalf sends a head with further fields, and half of a large body.
func (c *client) sendHalf(fields string) {
	if c.send(c.head(fields+lengthLine(largeBody)) + strings.Repeat("b", halfBody)) {
		c.discard()
	}
}

// actHalfBody sends all but the last bytes of a large body.
func actHalfBody(_ context.Context, c *client) {
	if c.send(c.head(lengthLine(largeBody)) + strings.Repeat("b", largeBody-unsentBytes)) {
		c.discard()
	}
}

// actSlowBody sends a large body in small pieces, which takes nearly as long as a node waits for a request.
func actSlowBody(ctx context.Context, c *client) {
	piece := strings.Repeat("b", pieceBytes)
	for ok := c.send(c.head(lengthLine(largeBody))); ok && ctx.Err() == nil; ok = c.send(piece) {
		wait(ctx, pieceInterval)
	}
}

// actSmallChunks sends a body in chunks of one byte with an extension each, and never ends it.
func actSmallChunks(_ context.Context, c *client) {
	chunk := "1;" + strings.Repeat("e", 20) + "\r\nb\r\n"
	if c.send(c.head("Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, headBytes/len(chunk))) {
		c.discard()
	}
}

// actUnreadAnswers sends large requests one after another and reads no byte of the responses.
func actUnreadAnswers(ctx context.Context, c *client) {
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(smallReceive) // fails only for a closed connection
	for c.send(c.head(lengthLine(largeBody)) + strings.Repeat("b", largeBody)) {
		wait(ctx, pieceInterval)
	}
}

// actPipelinedUnread sends many small requests at once and reads no response.
func actPipelinedUnread(ctx context.Context, c *client) {
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(smallReceive) // fails only for a closed connection
	for c.send(c.smallRequests()) {
		wait(ctx, pieceInterval)
	}
}

// smallRequests returns pipelined small requests.
func (c *client) smallRequests() string {
	var text strings.Builder
	for range pipelined {
		text.WriteString(c.head(lengthLine(smallBody)) + strings.Repeat("b", smallBody))
	}
	return text.String()
}

// actLargeRequests sends large requests and reads the responses.
func actLargeRequests(ctx context.Context, c *client) {
	go c.discard() // ends with the connection
	for c.send(c.head(lengthLine(largeBody)) + strings.Repeat("b", largeBody)) {
		wait(ctx, pieceInterval)
	}
}

// actFloodNames sends small valid requests at full speed, each under a new id and of a new customer.
func actFloodNames(_ context.Context, c *client) {
	c.flood(func() string {
		return c.repeatRequest(func() string {
			customer := c.ids.Load() << customerShift & maxCustomer
			return c.headOf(c.target.Class, customer, lengthLine(smallBody)) + strings.Repeat("b", smallBody)
		})
	})
}

// actFloodHealthChecks sends health checks at full speed.
func actFloodHealthChecks(_ context.Context, c *client) {
	text := strings.Repeat("GET /healthz HTTP/1.1\r\nHost: edge\r\n\r\n", window)
	c.flood(func() string { return text })
}

// actFloodMalformed sends what is not HTTP, and reads until the node closes the connection.
func actFloodMalformed(_ context.Context, c *client) {
	if c.send("nonsense\r\n\r\n") {
		c.discard()
	}
}

// actFloodUnknownClass sends requests of unknown classes.
func actFloodUnknownClass(_ context.Context, c *client) {
	c.flood(func() string {
		return c.repeatRequest(func() string {
			return c.headOf(fmt.Sprintf("none%x", c.ids.Load()), c.target.Customer, lengthLine(0))
		})
	})
}

// actFloodUnanswered sends small requests without waiting for responses.
func actFloodUnanswered(_ context.Context, c *client) {
	go c.discard() // ends with the connection
	for c.send(c.smallRequests()) {
	}
}

// repeatRequest returns as many requests as flood sends at once.
func (c *client) repeatRequest(request func() string) string {
	var text strings.Builder
	for range window {
		text.WriteString(request())
	}
	return text.String()
}

// flood sends texts of window requests each at full speed, until the connection ends. It sends the next text once all responses to
// the last one have begun.
func (c *client) flood(next func() string) {
	buffer := make([]byte, largeBody)
	for c.send(next()) {
		for responses := 0; responses < window; {
			n, err := c.Read(buffer)
			if err != nil {
				return
			}
			responses += strings.Count(string(buffer[:n]), "HTTP/1.1 ")
		}
	}
}
