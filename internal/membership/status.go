package membership

import "github.com/oriolepond/oriolepond/internal/grant"

// Support states that an instance has no open promise to a departed member (the holder)
// and will give it no more promises.
type Support struct {
	Holder string
	// KnownToHolder reports whether the departed member knew the supporter as a peer. If so,
	// the member could rely on a takeover needing the supporter's support.
	KnownToHolder bool
	// Unpromised reports whether the supporter never gave the departed member a promise.
	Unpromised bool
}

// Status is what an instance reports to its peers about itself.
type Status struct {
	ID     string
	Report grant.Report
	// Supports lists the departed members whose takeover the instance supports.
	Supports []Support
	// Released reports whether the instance has departed, has nothing in flight and has
	// no open promise.
	Released bool
}
