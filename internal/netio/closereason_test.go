package netio

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// The line of a connection's end, and the codes of why it ended, as of commit cf1acfb and now.
func TestGoldenConnectionClose(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	LogClose(&log, SideServer, "10.0.0.1:80", ReasonServerTimeout, time.Now().Add(-time.Hour), 3)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	age, ok := line["age_ms"].(float64)
	if delete(line, "age_ms"); !ok || age < 3.6e6 || age > 3.7e6 {
		t.Errorf("age_ms %v", age)
	}
	if want := map[string]any{
		"level": "info", "side": "server", "peer": "10.0.0.1:80", "reason": "server-timeout", "requests": 3.0,
		"message": "connection closed",
	}; !reflect.DeepEqual(line, want) {
		t.Errorf("got %v, not %v", line, want)
	}
	codes := []struct {
		is       CloseReason
		old, now string
	}{
		{ReasonClientClosed, "client-closed", "client-closed"},
		{ReasonClientDisconnected, "client-gone", "client-disconnected"},
		{ReasonClientRequestedClose, "client-last", "client-requested-close"},
		{ReasonClientMalformed, "client-bad", "client-malformed"},
		{ReasonClientTimeout, "client-slow", "client-timeout"},
		{ReasonClientReset, "client-broken", "client-reset"},
		{ReasonResponseUnwritten, "answer-broken", "response-unwritten"},
		{ReasonNodeDraining, "node-drains", "node-draining"},
		{ReasonNodeNearLimit, "node-tight", "node-near-limit"},
		{ReasonEvicted, "evicted", "evicted"},
		{ReasonServerClosed, "server-closed", "server-closed"},
		{ReasonServerStale, "server-stale", "server-stale"},
		{ReasonServerRequestedClose, "server-last", "server-requested-close"},
		{ReasonServerReset, "server-broken", "server-reset"},
		{ReasonServerMalformed, "server-bad", "server-malformed"},
		{ReasonServerTimeout, "server-late", "server-timeout"},
		{ReasonServerUnlisted, "server-unlisted", "server-unlisted"},
		{ReasonAttemptCancelled, "withdrawn", "attempt-cancelled"},
		{ReasonIdle, "idle", "idle"},
		{ReasonDiscoveryClosed, "discovery-ended", "discovery-closed"},
	}
	seen := map[string]bool{}
	for _, code := range codes {
		if string(code.is) != code.now {
			t.Errorf("%s (was %s) is written as %q", code.now, code.old, code.is)
		}
		if seen[code.now] {
			t.Errorf("two ends are written as %q", code.now)
		}
		seen[code.now] = true
	}
}
