// Package cpubudget bounds the processor time of work that clients cause without a request that an app server executes.
//
// A Budget has two token buckets of processor time for all connections together: one for connections that are accepted, one for requests
// that are rejected. Work may begin while its bucket has a balance, and its time is charged once it is known. The package has no I/O
// and reads no clock.
package cpubudget
