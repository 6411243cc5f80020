// Package discovery follows the endpoint list of the platform's discovery service, or of its agent on this machine, by long
// polling.
package discovery
