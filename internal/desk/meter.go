package desk

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Meter counts what a node does as holder.
type Meter struct {
	commits *metrics.Histogram
	looks   *metrics.Histogram
	orders  *metrics.Histogram
	set     *metrics.Set
}

// NewMeter returns a meter in a set of metrics.
func NewMeter(set *metrics.Set) *Meter {
	return &Meter{
		commits: set.NewHistogram("oriolepond_commit_seconds"),
		looks:   set.NewHistogram("oriolepond_look_seconds"),
		orders:  set.NewHistogram("oriolepond_order_seconds"),
		set:     set,
	}
}

// Commit counts a commit that began at a time.
func (m *Meter) Commit(began time.Time) { m.commits.Update(now().Sub(began).Seconds()) }

// Look counts a look that was sent at a time.
func (m *Meter) Look(sent time.Time) { m.looks.Update(now().Sub(sent).Seconds()) }

// Order counts an order that was sent at a time.
func (m *Meter) Order(kind batch.OrderKind, answer batch.Answer, sent time.Time) {
	m.orders.Update(now().Sub(sent).Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_orders_total{kind=%q,answer=%q}", kind, answer)).Inc()
}
