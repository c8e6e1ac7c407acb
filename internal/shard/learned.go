package shard

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/placement"
)

// learnedEvery is the least time between two records of what was learned. A
// record goes along with other changes and asks for no commit of its own.
const learnedEvery = time.Minute

// noteLearned lets the next batch hold what was learned, if that is due.
func (c *Core) noteLearned(now time.Time) {
	if now.Sub(c.learnedAt) >= learnedEvery {
		c.learnedAt = now
		c.changes.learned = true
	}
}

// learned returns what was learned of the declared families and services.
func (c *Core) learned() []journal.Learned {
	sizes := slices.DeleteFunc(c.planner.Sizes.Learned(), func(k placement.LearnedSize) bool {
		return !c.hasFamily(k.Family)
	})
	effects := slices.DeleteFunc(c.planner.Learner.Model.LearnedEffects(), func(k interference.LearnedEffect) bool {
		_, declared := c.config.Service(k.Service)
		return !declared || (k.Family != "" && !c.hasFamily(k.Family))
	})
	return []journal.Learned{{Sizes: sizes, Effects: effects}}
}

func (c *Core) hasFamily(name string) bool {
	_, ok := c.families[name]
	return ok
}

// budget returns the evictions of the last hour under a rule.
func (c *Core) budget(rule string) journal.Budget {
	return journal.Budget{Rule: rule, Spent: c.planner.Yielder.RecentEvictions(rule)}
}

// adoptLearned takes what the holders before had learned and spent.
func (c *Core) adoptLearned(b journal.Batch) {
	for _, l := range b.Learned {
		c.known = l
	}
	for _, spent := range b.Budgets {
		c.planner.Yielder.SetRecentEvictions(spent.Rule, spent.Spent)
	}
}

// restoreLearned gives the planner what the last record holds.
func (c *Core) restoreLearned() {
	c.planner.Sizes.Restore(c.known.Sizes)
	c.planner.Learner.Model.Restore(c.known.Effects)
	c.known = journal.Learned{}
}
