package demo

import (
	"context"

	"github.com/oriolepond/oriolepond"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/settings"
)

// Process is a running entry instance.
type Process struct {
	// PID is the process ID; zero for an instance within this process.
	PID int
	// Stop requests a planned stop.
	Stop func()
	// Kill ends the instance immediately.
	Kill func()
	// Pause freezes the instance and Resume continues it; both are nil if that is not possible.
	Pause  func()
	Resume func()
	// HangUp makes the instance read its settings file again; nil if that is not possible.
	HangUp func()
	// Done receives the instance's error, or nil, once it has ended.
	Done <-chan error
}

// Launch starts an entry instance with the given settings file.
type Launch func(ctx context.Context, text []byte) (*Process, error)

// launchInProcess runs an entry instance within this process.
func launchInProcess(_ context.Context, text []byte) (*Process, error) {
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
