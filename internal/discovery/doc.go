// Package discovery follows the endpoint list that the platform's discovery service, or its agent on this machine, serves
// by long polling.
package discovery
