package oriolepond

import (
	"net/http"

	"github.com/oriolepond/oriolepond/internal/entry"
)

// callerHandler returns the HTTP handler for callers.
func (i *Instance) callerHandler() http.Handler {
	jobs := i.jobs
	return &entry.Front{
		Config:     i.configs.Current,
		Dispatcher: i.requests,
		Jobs:       &entry.Jobs{Submit: jobs.Submit, Describe: jobs.Describe, Cancel: jobs.Cancel},
		Leaving:    i.stop.leaving.Load,
		Draining:   i.stop.draining.Load,
		Log:        i.Log,
	}
}

// ready reports whether a load balancer may send callers to this instance. An instance
// that is cut off from the store and its peers may not use its allocation, and one that
// has not loaded the configuration would refuse every token.
func (i *Instance) ready() bool {
	if i.stop.leaving.Load() || i.instanceList.Load() == nil || !i.configs.Loaded() {
		return false
	}
	v := i.members.View()
	return v.Joined() && i.members.Entitled()
}
