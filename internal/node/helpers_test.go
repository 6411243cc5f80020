package node

import (
	"testing"
)

// noEnv is an environment without variables.
func noEnv(string) string { return "" }

// mustParse parses a configuration without environment variables, and fails the test on an error.
func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := parseConfig([]byte(text), noEnv)
	if err != nil {
		t.Fatalf("parseConfig of the test's configuration: error %v, want none", err)
	}
	return c
}

// startNode runs a node in the test's own process until a test sends SIGTERM. The channel receives the result of Serve.
func startNode(c *Config) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- Serve(c, CatchSignals()) }() // ends once a test has sent SIGTERM
	return ended
}
