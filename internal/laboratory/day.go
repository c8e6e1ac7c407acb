package laboratory

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Day is an experiment with everything that is random drawn from a seed.
type Day struct {
	Experiment *Experiment
	Seed       uint64
	jobs       []drawnJob
	// losses holds the headroom that a serving image (first key) loses beside an image.
	losses      map[string]map[string]float64
	disruptions []drawnDisruption
	// phases are the phases of the services' swings, as a fraction of their period.
	phases []float64
}

// drawnJob is one job with the true run times of its tasks.
type drawnJob struct {
	kind *JobKind
	job  batch.Job
	at   time.Duration
	// times are the run times by step and task.
	times [][]time.Duration
	// objective is the time within which the job earns its whole worth.
	objective time.Duration
	// critical is the length of the longest chain of dependent tasks.
	critical time.Duration
}

type drawnDisruption struct {
	Disruption
	// targets are numbers from 0 to 1 that select the workers.
	targets []float64
}

// The streams of random numbers of a day. Each has its own generator, so that a change in one part
// of an experiment leaves the others as they are.
const (
	streamArrivals = iota + 1
	streamLosses
	streamDisruptions
	streamPhases
)

// epoch is the beginning of all days. It is a whole number of milliseconds, as stored times are.
var epoch = time.Unix(1_000_000_000, 0)

// tick is the resolution of the model of workers, and that of arrivals.
const tick = 100 * time.Millisecond

// Draw draws the day of a seed.
func Draw(e *Experiment, seed uint64) *Day {
	d := &Day{Experiment: e, Seed: seed}
	d.drawLosses(rand.New(rand.NewPCG(seed, streamLosses)))
	d.drawJobs()
	phases := rand.New(rand.NewPCG(seed, streamPhases))
	for range e.Services {
		d.phases = append(d.phases, phases.Float64())
	}
	random := rand.New(rand.NewPCG(seed, streamDisruptions))
	for _, disruption := range e.Disruptions {
		drawn := drawnDisruption{Disruption: disruption}
		for range disruption.Workers {
			drawn.targets = append(drawn.targets, random.Float64())
		}
		d.disruptions = append(d.disruptions, drawn)
	}
	return d
}

func (d *Day) drawLosses(random *rand.Rand) {
	e := d.Experiment
	d.losses = map[string]map[string]float64{}
	for _, s := range e.Services {
		if d.losses[s.Image] != nil {
			continue
		}
		d.losses[s.Image] = map[string]float64{}
		for _, k := range e.Jobs {
			for _, step := range k.Steps {
				if _, known := d.losses[s.Image][step.Image]; !known {
					d.losses[s.Image][step.Image] = between(random, e.LeastLoss, e.MostLoss)
				}
			}
		}
	}
	for _, p := range e.Pairs {
		if d.losses[p.Serving] != nil {
			d.losses[p.Serving][p.Beside] = p.Loss
		}
	}
}

// drawJobs draws the arrivals of each kind: in each tick one job at most for each whole number per
// tick, so that no logarithm is needed, whose last bits differ between kinds of machines.
func (d *Day) drawJobs() {
	for k := range d.Experiment.Jobs {
		kind := &d.Experiment.Jobs[k]
		random := rand.New(rand.NewPCG(d.Seed, uint64(streamArrivals+16*(k+1))))
		perTick := float64(kind.PerSecond * tick.Seconds())
		for at := kind.From; at < min(kind.Until, d.Experiment.Duration); at += tick {
			arrivals := int(perTick)
			if random.Float64() < perTick-math.Floor(perTick) {
				arrivals++
			}
			for range arrivals {
				offset := time.Duration(random.Int64N(int64(tick/time.Millisecond))) * time.Millisecond
				d.jobs = append(d.jobs, d.drawJob(kind, at+offset, random))
			}
		}
	}
	slices.SortStableFunc(d.jobs, func(a, b drawnJob) int { return cmp.Compare(a.at, b.at) })
	for i := range d.jobs {
		d.jobs[i].job.ID = fmt.Sprintf("%016x", len(d.Experiment.Services)+i+1)
	}
}

func (d *Day) drawJob(kind *JobKind, at time.Duration, random *rand.Rand) drawnJob {
	j := drawnJob{kind: kind, at: at, job: batch.Job{Queue: kind.Queue}}
	declared := between(random, kind.LeastDeclared, kind.MostDeclared)
	ends := make([]time.Duration, len(kind.Steps))
	for i, s := range kind.Steps {
		tasks := s.LeastTasks + random.IntN(s.MostTasks-s.LeastTasks+1)
		times := make([]time.Duration, tasks)
		var longest, sum time.Duration
		for k := range times {
			ms := int64(s.LeastTime/time.Millisecond) + random.Int64N(int64((s.MostTime-s.LeastTime)/time.Millisecond)+1)
			times[k] = time.Duration(ms) * time.Millisecond
			longest, sum = max(longest, times[k]), sum+times[k]
		}
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += longest
		j.critical = max(j.critical, ends[i])
		j.times = append(j.times, times)
		estimate := time.Duration(declared * float64(sum/time.Duration(tasks)))
		j.job.Steps = append(j.job.Steps, batch.Step{
			Tasks: tasks, Size: s.Size, Estimate: estimate.Round(time.Millisecond), After: slices.Clone(s.After),
			Checkpoints: s.Checkpoints, MaxPerWorker: s.MaxPerWorker, Image: s.Image, Filler: s.Filler,
		})
	}
	q := d.Experiment.queue(kind.Queue)
	j.objective = time.Duration(q.Slack*float64(j.critical)) + q.Target
	return j
}

// queue returns the queue with a name. Parse has checked that it exists.
func (e *Experiment) queue(name string) batch.Queue {
	i := slices.IndexFunc(e.Queues, func(q batch.Queue) bool { return q.Name == name })
	return e.Queues[i]
}

// baseline returns the headroom of a service without interference at a time of the day.
func (d *Day) baseline(service int, at time.Duration) float64 {
	s := d.Experiment.Services[service]
	if s.Period <= 0 {
		return s.Baseline
	}
	turns := float64(at)/float64(s.Period) + d.phases[service]
	// A triangle wave between -1 and 1.
	wave := float64(4*math.Abs(turns-math.Floor(turns)-0.5)) - 1
	return s.Baseline + float64(s.Swing*wave)
}

// between returns a random number between two bounds.
func between(random *rand.Rand, least, most float64) float64 {
	return least + float64(random.Float64()*(most-least))
}
