// Package e2e tests entry instances as real processes behind the
// fault-injecting network. The outcome is what the stand-ins saw.
//
// # Usage
//
//	go test ./e2e
package e2e
