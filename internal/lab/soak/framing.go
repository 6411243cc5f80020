package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cherrygap/internal/protocol"
)

// interimStatuses are the statuses of the interim responses that a server with behaveInterim sends. No node requests another
// protocol, so 101 is one of them.
var interimStatuses = []int{100, 101, 102, 103, 199}

// writeInterim writes an interim response with a random status.
func writeInterim(w io.Writer) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d Interim\r\nX-Note: a\r\n\r\n", interimStatuses[rand.IntN(len(interimStatuses))])
	return err
}

// foreignResponse is a response that belongs to no request.
const foreignResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"

// ambiguousHeads are heads of responses that end at different bytes for different recipients, or that have a body where none may be.
var ambiguousHeads = []string{
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
	"HTTP/1.1 099 Odd\r\nContent-Length: 45\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 45\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 45\r\n\r\n",
}

// writeAmbiguous writes a random one of ambiguousHeads, and foreignResponse behind it.
func writeAmbiguous(w io.Writer) error {
	_, err := io.WriteString(w, ambiguousHeads[rand.IntN(len(ambiguousHeads))]+foreignResponse)
	return err
}

// hiddenRequestID is the ID of the requests that are hidden in the bodies of others. No client sends a request with this ID.
const hiddenRequestID = "hidden"

// ambiguousRequests returns requests whose heads state the length of the body ambiguously. Another request is hidden in the body.
func ambiguousRequests() []string {
	lines := func(id string) string {
		return string(protocol.AppendRequestLines(nil, &protocol.Request{
			Method: http.MethodPost, URI: protocol.RequestPath("book", 1), Host: "edge", ID: id, Plan: unlimitedPlanName,
			Timeout: time.Second, Units: 1, Spread: 1,
		}))
	}
	hidden := lines(hiddenRequestID) + "Content-Length: 0\r\n\r\n"
	sizeLine := fmt.Sprintf("%x\r\n", len(hidden))
	inChunks, emptyChunks := sizeLine+hidden+"\r\n0\r\n\r\n", "0\r\n\r\n"
	texts := []string{
		lines("outer-1") + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(sizeLine)) + inChunks,
		lines("outer-2") + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding : chunked\r\n\r\n", len(sizeLine)) + inChunks,
		lines("outer-3") + fmt.Sprintf("Content-Length : %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(emptyChunks)+len(hidden)) + emptyChunks + hidden,
	}
	http10 := "HTTP/1.0\r\nConnection: keep-alive"
	return append(texts, strings.Replace(texts[0], "HTTP/1.1", http10, 1))
}
