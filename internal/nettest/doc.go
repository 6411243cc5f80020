// Package nettest has helpers for tests that play clients, app servers and discovery over loopback sockets.
package nettest
