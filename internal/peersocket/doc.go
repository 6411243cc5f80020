// Package peersocket sends and receives peer messages, which are UDP datagrams between the nodes of a fleet.
package peersocket
