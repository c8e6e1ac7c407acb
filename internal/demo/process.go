package demo

import (
	"context"

	"github.com/oriolepond/oriolepond"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/settings"
)

// Process is one running entry instance.
type Process struct {
	// PID is the process id; zero for an instance within this process.
	PID int
	// Stop asks for a planned stop.
	Stop func()
	// Kill ends the instance at once.
	Kill func()
	// Pause freezes the instance and Resume lets it go on; nil where that cannot be done.
	Pause  func()
	Resume func()
	// HangUp tells the instance to look at its settings again; nil where that cannot be done.
	HangUp func()
	// Done yields the end of the instance once.
	Done <-chan error
}

// Launch starts an entry instance with the text of its settings.
type Launch func(ctx context.Context, text []byte) (*Process, error)

// launchHere runs an entry instance within this process.
func launchHere(_ context.Context, text []byte) (*Process, error) {
	s, err := settings.Parse("demo", text)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	i := &oriolepond.Instance{Settings: s, Log: eventlog.Discard()}
	go func() { done <- i.Run(running) }()
	return &Process{Stop: stop, Kill: i.Abort, Done: done}, nil
}
