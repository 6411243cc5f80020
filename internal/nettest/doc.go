// Package nettest provides helpers for tests that act as clients, app servers and discovery over loopback sockets.
package nettest
