package scheduler

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Metrics counts what a node does as holder.
type Metrics struct {
	commits *metrics.Histogram
	looks   *metrics.Histogram
	orders  *metrics.Histogram
	set     *metrics.Set
}

// NewMetrics returns a meter in a set of metrics.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		commits: set.NewHistogram("oriolepond_commit_seconds"),
		looks:   set.NewHistogram("oriolepond_look_seconds"),
		orders:  set.NewHistogram("oriolepond_order_seconds"),
		set:     set,
	}
}

// Commit counts a commit by the time that it took.
func (m *Metrics) Commit(took time.Duration) { m.commits.Update(took.Seconds()) }

// Look counts a look by the time until its answer or failure.
func (m *Metrics) Look(took time.Duration) { m.looks.Update(took.Seconds()) }

// Order counts an order by the time until its answer or failure.
func (m *Metrics) Order(kind batch.CommandKind, answer batch.Answer, took time.Duration) {
	m.orders.Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_orders_total{kind=%q,answer=%q}", kind, answer)).Inc()
}
