package shard

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/placement"
)

// learnedSaveInterval is the shortest time between two records of the learned sizes and effects. A
// record is added to a batch that has other changes. It causes no commit of its own.
const learnedSaveInterval = time.Minute

// scheduleLearned makes the next batch include the learned values, if learnedSaveInterval has
// passed.
func (c *Core) scheduleLearned(now time.Time) {
	if now.Sub(c.learnedSavedAt) >= learnedSaveInterval {
		c.learnedSavedAt = now
		c.changes.learned = true
	}
}

// learnedRecord returns the learned sizes of the declared job families and their effects on the
// declared services. Withdrawn ones are omitted, which bounds the record.
func (c *Core) learnedRecord() []journal.Learned {
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

// budgetRecord returns the evictions of the last hour under a yield rule.
func (c *Core) budgetRecord(rule string) journal.Budget {
	return journal.Budget{Rule: rule, Evictions: c.planner.Yielder.RecentEvictions(rule)}
}

// replayLearned applies the learned values and evictions in a batch of the journal.
func (c *Core) replayLearned(b journal.Batch) {
	for _, l := range b.Learned {
		c.restoredLearned = l
	}
	for _, spent := range b.Budgets {
		c.planner.Yielder.SetRecentEvictions(spent.Rule, spent.Evictions)
	}
}

// restoreLearned passes the last learned record to the planner.
func (c *Core) restoreLearned() {
	c.planner.Sizes.Restore(c.restoredLearned.Sizes)
	c.planner.Learner.Model.Restore(c.restoredLearned.Effects)
	c.restoredLearned = journal.Learned{}
}
