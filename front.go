package oriolepond

import (
	"net/http"

	"github.com/oriolepond/oriolepond/internal/entry"
)

// front answers callers.
func (i *Instance) front() http.Handler {
	tasks := i.jobs
	return &entry.Front{
		Config:     i.configs.Current,
		Dispatcher: i.requests,
		Jobs:       &entry.Jobs{Submit: tasks.Submit, Describe: tasks.Describe, Cancel: tasks.Cancel},
		Leaving:    i.stop.leaving.Load,
		Draining:   i.stop.draining.Load,
		Log:        i.Log,
	}
}

// ready reports whether callers may be sent here. An instance that may not use
// its part, since it is cut off from the store and from its peers, is not ready,
// nor is one that does not know the configuration: it would refuse every token.
func (i *Instance) ready() bool {
	if i.stop.leaving.Load() || i.list.Load() == nil || !i.configs.Loaded() {
		return false
	}
	v := i.members.View()
	return v.Joined() && i.members.Entitled()
}
