package batch

import (
	"cmp"
	"slices"
	"sort"
)

// A repeated job may have thousands of occurrences. The stages of an occurrence are dropped once
// all its tasks have ended and none of their runs is left, in memory as in the record. An
// occurrence that has started and has no stages is finished.

// folds reports whether the stages of finished occurrences of the job are dropped.
func (j *job) folds() bool { return j.Repeat.Count > 0 && !j.delegated && len(j.Steps) > 0 }

// find returns the index in j.stages of the first stage of an occurrence.
func (j *job) find(occurrence int) (int, bool) {
	n := len(j.Steps)
	if n == 0 {
		return 0, false
	}
	k, found := sort.Find(len(j.stages)/n, func(k int) int { return cmp.Compare(occurrence, j.stages[k*n].occurrence) })
	return k * n, found
}

// stage returns the stage of a step of an occurrence, or nil if the occurrence has not started or
// its stages were dropped.
func (j *job) stage(occurrence, step int) *stage {
	i, found := j.find(occurrence)
	if !found || step < 0 || step >= len(j.Steps) {
		return nil
	}
	return j.stages[i+step]
}

// number returns the number of a stage among those of all occurrences, by which records name it.
func (s *stage) number() int { return s.occurrence*len(s.job.Steps) + s.index }

// isDropped reports whether a task belongs to an occurrence whose stages were dropped.
func (j *job) isDropped(n TaskName) bool {
	if !j.folds() || n.Occurrence < 0 || n.Occurrence >= j.startedOccurrences || n.Step < 0 || n.Step >= len(j.Steps) {
		return false
	}
	_, found := j.find(n.Occurrence)
	return !found
}

// hasDropped reports whether the stages of any occurrence were dropped.
func (j *job) hasDropped() bool {
	return j.folds() && len(j.stages) < j.startedOccurrences*len(j.Steps)
}

// isFinished reports whether all tasks of the stages have ended.
func isFinished(stages []*stage) bool {
	return !slices.ContainsFunc(stages, func(s *stage) bool { return s.unfinished > 0 })
}

// dropFinished drops the stages of finished occurrences that have no runs.
func (j *job) dropFinished() {
	if !j.folds() {
		return
	}
	kept := j.stages[:0]
	for stages := range slices.Chunk(j.stages, len(j.Steps)) {
		if !isFinished(stages) || slices.ContainsFunc(stages, (*stage).hasRuns) {
			kept = append(kept, stages...)
		}
	}
	clear(j.stages[len(kept):])
	j.stages = kept
}

// hasRuns reports whether any task of the stage has a run.
func (s *stage) hasRuns() bool { return len(s.runsByWorker) > 0 }

// wireFolded is the record of a repeated job without the stages of finished occurrences. Open lists
// the other occurrences that have started.
type wireFolded struct {
	Job  wireJob `json:"job"`
	Open []int   `json:"open,omitempty"`
}

// fold returns the record without the stages of finished occurrences, or unchanged if there are
// none.
func (w wireJob) fold(j *job) wireJob {
	if !j.folds() {
		return w
	}
	f := &wireFolded{Job: w}
	open := map[int]bool{}
	for stages := range slices.Chunk(j.stages, len(j.Steps)) {
		if !isFinished(stages) {
			open[stages[0].occurrence] = true
			f.Open = append(f.Open, stages[0].occurrence)
		}
	}
	if len(open) == j.startedOccurrences {
		return w
	}
	f.Job.Stages = slices.DeleteFunc(w.Stages, func(s wireStage) bool { return !open[s.Stage/len(j.Steps)] })
	return wireJob{ID: w.ID, Queue: w.Queue, State: w.State, Folded: f}
}

// unfold returns the record with all its fields, and which of the started occurrences are finished.
func (w wireJob) unfold() (wireJob, []bool) {
	folded := w.Folded
	if folded != nil {
		w = folded.Job
	}
	if w.Occurrences < 0 || w.Occurrences > max(1, w.Repeats) || w.Repeats == 0 || w.Delegated {
		return w, nil
	}
	finished := make([]bool, w.Occurrences)
	if folded == nil {
		// Records of earlier versions, and those without a finished occurrence, name all stages.
		ended := make([]int, w.Occurrences)
		for _, s := range w.Stages {
			if o := s.Stage / max(1, len(w.Steps)); s.AllDone && s.Stage >= 0 && o < len(ended) {
				ended[o]++
				finished[o] = ended[o] == len(w.Steps)
			}
		}
		return w, finished
	}
	for i := range finished {
		finished[i] = true
	}
	for _, o := range folded.Open {
		if o >= 0 && o < len(finished) {
			finished[o] = false
		}
	}
	return w, finished
}
