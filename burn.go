package oriolepond

import (
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/meter"
)

// buildBurn counts the callers' requests against their objectives.
func (i *Instance) buildBurn() {
	i.burned = burn.NewRecorder(time.Now())
	i.requests.Recorded = i.count
}

// count counts the end of one caller's request; a caller's own mistake does not count.
func (i *Instance) count(s entry.Sample) {
	service, ok := i.configs.Current().Service(s.Service)
	if ok && s.Outcome == "" && s.Status != 0 {
		i.meter.Add(meter.Payer{Neighbour: s.Neighbour, Share: service.Share}, meter.Use{Requests: 1})
	}
	if !ok || s.Cause == entry.CauseCaller {
		return
	}
	i.burned.Record(s.At, burn.Sample{
		Service:    s.Service,
		Neighbour:  s.Neighbour,
		Objective:  service.Objective.Latency,
		Latency:    s.Latency,
		Answered:   s.Outcome == "" && s.Status != 0 && s.Status < http.StatusInternalServerError,
		Refused:    s.Outcome == entry.NotRun,
		Queued:     s.Queued,
		Blame:      burn.Cause(s.Cause),
		Interfered: s.Slowed,
	})
}
