package shard

import (
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// maxNotices bounds the notices that are kept until TakeNotices.
const maxNotices = 1000

// Notice is a decision that is logged for operators. Fields that don't apply are empty.
type Notice struct {
	Event  eventlog.Event
	Job    string
	Task   string
	Worker string
	Rule   string
	// Reason explains the decision, or names the action on the task.
	Reason string
}

// notify keeps a notice until TakeNotices. Notices beyond maxNotices are dropped.
func (c *Core) notify(n Notice) {
	if len(c.notices) < maxNotices {
		c.notices = append(c.notices, n)
	}
}

// TakeNotices returns the notices since the last call.
func (c *Core) TakeNotices() []Notice {
	taken := c.notices
	c.notices = nil
	return taken
}

// logNotices logs, for operators, the decisions that the core has made since the last call. l.mu
// must be held.
func (l *Leader) logNotices() {
	for _, n := range l.core.TakeNotices() {
		fields := []zap.Field{zap.String("shard", l.Shard)}
		for _, f := range []struct{ name, value string }{
			{"job", n.Job}, {"task", n.Task}, {"worker", n.Worker}, {"rule", n.Rule}, {"reason", n.Reason},
		} {
			if f.value != "" {
				fields = append(fields, zap.String(f.name, f.value))
			}
		}
		l.Log.Emit(n.Event, fields...)
	}
}
