// Package peersocket sends and receives the datagrams between nodes.
package peersocket
