package node

import (
	"testing"
)

// noEnv is an environment in which nothing is set.
func noEnv(string) string { return "" }

// mustParse reads a configuration without an environment.
func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := parseConfig([]byte(text), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startNode runs a node in the test's own process. The channel receives the error of Serve.
func startNode(c *Config) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- Serve(c, CatchSignals()) }() // ends once a test has sent SIGTERM
	return ended
}
