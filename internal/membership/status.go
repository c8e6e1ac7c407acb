package membership

import "github.com/oriolepond/oriolepond/internal/grant"

// Support says that an instance has made no open promise to a departed member
// and will make none.
type Support struct {
	Holder string
	// Known says that the departed member knew the supporter, and so depended on it.
	Known bool
	// Unpromised says that the supporter never promised the departed member anything.
	Unpromised bool
}

// Status is what an instance tells its peers of itself.
type Status struct {
	ID     string
	Report grant.Report
	// Supports are the departed members that may be taken over.
	Supports []Support
	// Released says that the instance has departed, has nothing in flight and no promise open.
	Released bool
}
