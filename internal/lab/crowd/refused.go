package crowd

import (
	"context"
	"fmt"
	"strings"
)

// Sizes of messages that a node refuses, in bytes.
const (
	longBody   = 60_000_000 // length of a body far over the platform's limit
	pieceBody  = 200_000    // bytes of a long body in one write
	noiseBytes = 64 << 10
)

// Refused returns kinds of crowds whose connections send at full speed and make no app server execute anything, or ask for much and
// leave. Each connection that ends is replaced at once.
func Refused() []Kind {
	return []Kind{
		{Name: "long-bodies", act: actLongBody, reconnectsAtOnce: true},
		{Name: "noise", act: actNoise, reconnectsAtOnce: true},
		{Name: "endless-heads", act: actEndlessHead, reconnectsAtOnce: true},
		{Name: "endless-chunks", act: actEndlessChunks, reconnectsAtOnce: true},
		{Name: "malformed-lengths", act: refusedHeads(malformedLengths), reconnectsAtOnce: true},
		{Name: "malformed-fields", act: refusedHeads(malformedFields), reconnectsAtOnce: true},
		{Name: "unknown-names", act: refusedHeads(unknownNames), reconnectsAtOnce: true},
		{Name: "open-ids", act: actOpenID, reconnectsAtOnce: true},
		{Name: "half-and-close", act: actHalfAndClose, reconnectsAtOnce: true},
		{Name: "fields-and-close", act: actFieldsAndClose, reconnectsAtOnce: true},
		{Name: "fields-body-and-close", act: actFieldsBodyAndClose, reconnectsAtOnce: true},
		{Name: "many-and-close", act: actManyAndClose, reconnectsAtOnce: true},
		{Name: "connect-and-close", act: actConnectAndClose, reconnectsAtOnce: true},
		{Name: "silent-at-once", act: actSilent, reconnectsAtOnce: true},
	}
}

// actLongBody sends a request whose body is far too long, and reads what it is sent.
func actLongBody(ctx context.Context, c *client) {
	go c.discard() // ends with the connection
	piece := strings.Repeat("b", pieceBody)
	ok := c.send(c.head(lengthLine(longBody)))
	for sent := 0; ok && sent < longBody && ctx.Err() == nil; sent += pieceBody {
		ok = c.send(piece)
	}
}

// actNoise sends bytes that are not HTTP without an end.
func actNoise(ctx context.Context, c *client) {
	go c.discard() // ends with the connection
	noise := strings.Repeat("\x00\xff\r\n", noiseBytes/4)
	for ok := true; ok && ctx.Err() == nil; {
		ok = c.send(noise)
	}
}

// actEndlessHead sends a head without an end.
func actEndlessHead(ctx context.Context, c *client) {
	go c.discard() // ends with the connection
	ok := c.send("POST /" + c.target.Class + "/5 HTTP/1.1\r\n")
	for ok && ctx.Err() == nil {
		ok = c.send(strings.Repeat("X-Field: value\r\n", headBytes/16))
	}
}

// actEndlessChunks sends a body in chunks of one byte without an end.
func actEndlessChunks(ctx context.Context, c *client) {
	go c.discard() // ends with the connection
	chunks := strings.Repeat("1\r\nb\r\n", headBytes)
	ok := c.send(c.head("Transfer-Encoding: chunked\r\n"))
	for ok && ctx.Err() == nil {
		ok = c.send(chunks)
	}
}

// malformedLengths returns heads of requests whose body has no usable length.
func malformedLengths(c *client) []string {
	return []string{
		c.head("Content-Length: -1\r\n"),
		c.head("Content-Length: 99999999999999999999999\r\n"),
		c.head("Content-Length: 1e3\r\n"),
		c.head("Content-Length: 4\r\nContent-Length: 5\r\n"),
		c.head("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
		c.head("Transfer-Encoding: chunked\r\n") + "zz\r\n",
	}
}

// malformedFields returns heads of requests with fields that can't be read or are out of range.
func malformedFields(c *client) []string {
	valid := c.head(lengthLine(0))
	replace := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }
	return []string{
		replace("units=1", "units=many"),
		replace("units=1", "units=1e300"),
		replace("spread=1", "spread=-3"),
		replace("first=0", "first=99999999"),
		replace(fmt.Sprintf("X-Budget-Ms: %d", c.target.TimeoutMs), "X-Budget-Ms: soon"),
		replace("X-Call-Id: ", "X-Other: "),
	}
}

// unknownNames returns heads of requests whose class or plan does not exist.
func unknownNames(c *client) []string {
	return []string{
		c.headOf("none", c.target.Customer, lengthLine(0)),
		strings.Replace(c.head(lengthLine(0)), "X-Tariff: "+c.target.Plan, "X-Tariff: none", 1),
	}
}

// refusedHeads returns a behaviour that sends one of some heads, each in its turn, and reads until the node closes the connection.
func refusedHeads(heads func(*client) []string) func(context.Context, *client) {
	return func(_ context.Context, c *client) {
		choice := heads(c)
		if c.send(choice[int(c.ids.Add(1))%len(choice)]) {
			c.discard()
		}
	}
}

// actOpenID sends requests under one id, which is that of another request in flight or forwarded recently.
func actOpenID(_ context.Context, c *client) {
	id := fmt.Sprintf("X-Call-Id: %sopen", c.target.IDPrefix)
	head := c.head(lengthLine(0))
	begin := strings.Index(head, "X-Call-Id: ")
	end := begin + strings.Index(head[begin:], "\r\n")
	if c.send(head[:begin] + id + head[end:]) {
		c.discard()
	}
}

// actHalfAndClose sends the first half of a request and closes.
func actHalfAndClose(_ context.Context, c *client) {
	head := c.head(lengthLine(largeBody))
	c.send(head[:len(head)/2])
}

// actFieldsAndClose sends a head of very many short fields and closes before the body.
func actFieldsAndClose(_ context.Context, c *client) {
	c.send(c.head(emptyFields(func(int) string { return "a:\r\n" }) + lengthLine(largeBody)))
}

// actFieldsBodyAndClose sends a head of very many short fields and half of the body, and closes.
func actFieldsBodyAndClose(_ context.Context, c *client) {
	c.send(c.head(emptyFields(func(int) string { return "a:\r\n" })+lengthLine(largeBody)) + strings.Repeat("b", halfBody))
}

// actManyAndClose sends many requests at once and closes.
func actManyAndClose(_ context.Context, c *client) { c.send(c.smallRequests()) }

// actConnectAndClose sends nothing and closes.
func actConnectAndClose(context.Context, *client) {}
