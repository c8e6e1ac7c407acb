// Package e2e tests entry instances as real processes behind the fault-injecting
// network. The results are judged by what the stand-ins saw.
//
// # Usage
//
//	go test ./e2e
package e2e
