package transport

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// A stranger may send the id of another client's request, open or lately answered: that must not run.
func TestIDOfAnotherRequestIsRefused(t *testing.T) {
	received, answer := make(chan struct{}, 9), make(chan struct{})
	node := startNode(t, settings.RetrySafe, roomyLimits, 1, func(conn net.Conn, request *http.Request) bool {
		received <- struct{}{}
		<-answer
		return echo(conn, request)
	})
	text, conn := requestText(5000, "mine"), node.dial(t)
	writeString(conn, text)
	<-received
	for range 2 {
		if status, _, closes := roundTrip(t, node.dial(t), text); status != 409 || !closes {
			t.Errorf("status %d, closes %v", status, closes)
		}
		if answer != nil {
			close(answer)
			if status, body, _ := roundTrip(t, conn, ""); status != 200 || body != "mine" {
				t.Errorf("status %d, body %q", status, body)
			}
			answer = nil
		}
	}
}

func TestAnsweredIDsAreForgotten(t *testing.T) {
	ids := newRequestIDs()
	for i := range 5 * maxRememberedIDs {
		id := strconv.Itoa(i)
		if !ids.claim(id) || ids.claim(id) {
			t.Fatalf("id %d", i)
		}
		ids.release(id)
		if remembered := len(ids.recent) + len(ids.previous) + len(ids.open); ids.claim(id) || remembered > 2*maxRememberedIDs {
			t.Fatalf("id %d, %d remembered", i, remembered)
		}
	}
}
