// Package e2e tests entry instances as real processes behind the fault-injecting
// network. The tests check what the stand-ins around the instances recorded.
//
// # Usage
//
//	go test ./e2e
package e2e
