package intake

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// New returns a budget whose usage is reported in metrics and, under pressure, in the log. Server names what
// it limits.
func New(server string, limits Limits, set *metrics.Set, log *eventlog.Log) *Budget {
	b := &Budget{Limits: limits, OnPressure: func(u Usage) {
		log.Emit(eventlog.ClientsLimited, zap.String("server", server), zap.Int("connections", u.Conns),
			zap.Int64("bytes", u.Bytes), zap.Int64("refused", u.Refused), zap.Int64("closed", u.Closed))
	}}
	for _, g := range []struct {
		name  string
		value func(Usage) float64
	}{
		{"oriolepond_clients_connections", func(u Usage) float64 { return float64(u.Conns) }},
		{"oriolepond_clients_bytes", func(u Usage) float64 { return float64(u.Bytes) }},
		{"oriolepond_clients_refused_total", func(u Usage) float64 { return float64(u.Refused) }},
		{"oriolepond_clients_closed_total", func(u Usage) float64 { return float64(u.Closed) }},
	} {
		set.GetOrCreateGauge(fmt.Sprintf("%s{server=%q}", g.name, server), func() float64 { return g.value(b.Usage()) })
	}
	return b
}
