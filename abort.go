package oriolepond

import "sync"

// AbortedError says that Abort ended an instance.
type AbortedError struct {
	ID string
}

// Error returns the instance.
func (e *AbortedError) Error() string { return "instance " + e.ID + " was aborted" }

// Abort ends the instance at once, without a planned stop: it cuts requests in
// flight and leaves its leases to lapse.
func (i *Instance) Abort() {
	i.abort.close.Do(func() { close(i.aborted()) })
}

// aborted returns the channel that Abort closes.
func (i *Instance) aborted() chan struct{} {
	i.abort.make.Do(func() { i.abort.channel = make(chan struct{}) })
	return i.abort.channel
}

// abortState tells that an instance is to end at once.
type abortState struct {
	channel chan struct{}
	make    sync.Once
	close   sync.Once
}
