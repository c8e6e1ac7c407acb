// Package e2e tests the built programs as real processes: entry instances behind the
// fault-injecting standin.Network, pondctl, and nodes of the users' platform (TestSoak).
// What the stand-ins around the processes recorded shows whether a rule was broken. The
// benchmarks measure the resources that entry instances use, and how long a takeover of
// shards takes.
//
// # Usage
//
//	go test ./e2e
package e2e
