// Package membudget divides the memory limit of a node's process among what the process holds, and counts what clients make it
// hold against their part.
//
// A Plan has the parts. A Budget counts the part that grows with the size of messages: heads, bodies and responses. Each holder
// has an Account. The package has no I/O.
package membudget
