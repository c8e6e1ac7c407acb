// Package clients tests the system's processes against clients that stay within no limit but those of a
// single request: they open many connections, send large requests up to just before the end, and wait.
//
// Each test starts one process at a loopback address with the limits of a small machine, lets a crowd of
// such clients connect, and checks that the process lives, that its memory and its descriptors stay
// within the limits, and that an ordinary request is answered while the crowd stays. The tests depend on
// no time and run one after the other.
//
// # Usage
//
//	go test -count=1 ./e2e/clients
package clients
