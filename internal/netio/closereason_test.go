package netio

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestCloseLogFormat guards against changes in the log line of a closed connection, and in the codes of its reasons, for which
// operators search.
func TestCloseLogFormat(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	LogClose(&log, SideServer, "10.0.0.1:80", ReasonServerTimeout, time.Now().Add(-time.Hour), 3)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("parse the log line %q: %v", out.String(), err)
	}
	age, ok := line["age_ms"].(float64)
	if delete(line, "age_ms"); !ok || age < 3.6e6 || age > 3.7e6 {
		t.Errorf("field age_ms = %v, is a number %t; want from 3.6e6 to 3.7e6 for a connection opened an hour ago, true", age, ok)
	}
	if want := map[string]any{
		"level": "info", "side": "server", "peer": "10.0.0.1:80", "reason": "server-timeout", "requests": 3.0,
		"message": "connection closed",
	}; !reflect.DeepEqual(line, want) {
		t.Errorf("log line without age_ms = %v, want %v", line, want)
	}
	codes := []struct {
		reason CloseReason
		code   string
	}{
		{ReasonClientClosed, "client-closed"},
		{ReasonClientDisconnected, "client-disconnected"},
		{ReasonClientRequestedClose, "client-requested-close"},
		{ReasonClientMalformed, "client-malformed"},
		{ReasonClientTimeout, "client-timeout"},
		{ReasonClientReset, "client-reset"},
		{ReasonResponseUnwritten, "response-unwritten"},
		{ReasonNodeDraining, "node-draining"},
		{ReasonNodeNearLimit, "node-near-limit"},
		{ReasonEvicted, "evicted"},
		{ReasonServerClosed, "server-closed"},
		{ReasonServerStale, "server-stale"},
		{ReasonServerRequestedClose, "server-requested-close"},
		{ReasonServerReset, "server-reset"},
		{ReasonServerMalformed, "server-malformed"},
		{ReasonServerTimeout, "server-timeout"},
		{ReasonServerUnlisted, "server-unlisted"},
		{ReasonAttemptCancelled, "attempt-cancelled"},
		{ReasonIdle, "idle"},
		{ReasonWriteDelayed, "write-delayed"},
		{ReasonDiscoveryClosed, "discovery-closed"},
	}
	seen := map[string]bool{}
	for _, code := range codes {
		if string(code.reason) != code.code {
			t.Errorf("close reason is logged as %q, want %q", code.reason, code.code)
		}
		if seen[code.code] {
			t.Errorf("two close reasons are logged as %q, want a different code for each", code.code)
		}
		seen[code.code] = true
	}
}
