package oriolepond

import "sync"

// AbortedError is returned by Instance.Run after Abort.
type AbortedError struct {
	ID string
}

// Error implements error.
func (e *AbortedError) Error() string { return "instance " + e.ID + " was aborted" }

// Abort ends the instance immediately, without a planned stop: requests in flight are
// cut off and its leases are left to expire.
func (i *Instance) Abort() {
	i.abort.close.Do(func() { close(i.aborted()) })
}

// aborted returns the channel that Abort closes.
func (i *Instance) aborted() chan struct{} {
	i.abort.make.Do(func() { i.abort.channel = make(chan struct{}) })
	return i.abort.channel
}

// abortState makes Abort safe to call several times, and before Run.
type abortState struct {
	channel chan struct{}
	make    sync.Once
	close   sync.Once
}
