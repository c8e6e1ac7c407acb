package entry

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/target"
)

var (
	answeredTotal  = metrics.GetOrCreateCounter("oriolepond_request_answered_total")
	notRunTotal    = metrics.GetOrCreateCounter("oriolepond_request_not_run_total")
	unknownTotal   = metrics.GetOrCreateCounter("oriolepond_request_unknown_total")
	attemptsTotal  = metrics.GetOrCreateCounter("oriolepond_request_attempts_total")
	forwardedTotal = metrics.GetOrCreateCounter("oriolepond_request_forwarded_total")
	ejectedTotal   = metrics.GetOrCreateCounter("oriolepond_request_targets_ejected_total")
)

// count adds the sample to the metrics.
func (s Sample) count() {
	attemptsTotal.Add(s.Attempts)
	switch s.Outcome {
	case NotRun:
		notRunTotal.Inc()
	case Unknown:
		unknownTotal.Inc()
	default:
		answeredTotal.Inc()
	}
}

// reportChange logs and counts the ejection or readmission of a target.
func (d *Dispatcher) reportChange(c target.Change, id string) {
	event := eventlog.TargetReadmitted
	switch c {
	case target.Unchanged:
		return
	case target.Ejected:
		event = eventlog.TargetEjected
		ejectedTotal.Inc()
	}
	if d.Log != nil {
		d.Log.Emit(event, zap.String("target", id))
	}
}
