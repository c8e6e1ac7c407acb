package laboratory

import (
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// The largest values that an experiment may have.
const (
	maxDay     = 2 * time.Hour
	maxSeeds   = 1000
	maxWorkers = 10_000
	maxTasks   = 10_000
	maxCores   = 10_000
	maxMemory  = 1 << 46
	maxNumber  = 1000
)

// parser reads an experiment and knows the names that are declared so far.
type parser struct {
	queues, groups map[string]bool
	names          map[string]bool
	policies       map[string]bool
	serving        map[string]bool
	images         map[string]bool
}

// Parse reads an experiment from JSON with comments; file is its name in errors. The error is a
// *jsonc.SyntaxError, or a *jsonc.FaultsError with all faults of the file.
func Parse(file string, text []byte) (*Experiment, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	p := &parser{
		queues: map[string]bool{}, groups: map[string]bool{}, names: map[string]bool{}, policies: map[string]bool{},
		serving: map[string]bool{}, images: map[string]bool{},
	}
	e := p.experiment(doc.Root())
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (p *parser) experiment(o *jsonc.Object) *Experiment {
	e := &Experiment{Name: o.String("name")}
	e.Duration = o.DurationIn("duration", time.Minute, time.Second, maxDay)
	e.Settle = o.DurationIn("settle", 14*time.Second, 0, maxDay)
	e.Seeds = seeds(o)
	e.Pool = jsonc.Each(o, "pool", p.group)
	e.Queues = jsonc.Each(o, "queues", p.queue)
	e.Services = jsonc.Each(o, "services", p.service)
	e.Jobs = jsonc.Each(o, "jobs", func(o *jsonc.Object) JobKind { return p.jobKind(o, e.Duration) })
	interference := o.Object("interference")
	e.LeastLoss, e.MostLoss = numbers(interference, "drawn", 0, 0, 0, maxNumber)
	e.Pairs = jsonc.Each(interference, "pairs", p.pair)
	interference.Close()
	e.Disruptions = jsonc.Each(o, "disruptions", func(o *jsonc.Object) Disruption { return disruption(o, e.Duration+e.Settle) })
	e.Policies = jsonc.Each(o, "policies", p.policy)
	if !o.Has("policies") {
		e.Policies = []Policy{DefaultPolicy("default")}
	}
	if len(e.Policies) == 0 {
		o.FaultAt("policies", "is empty")
	}
	if len(e.Pool) == 0 {
		o.FaultAt("pool", "names no workers")
	}
	if len(e.Services)+len(e.Jobs) == 0 {
		o.Value().Faultf("has neither jobs nor services")
	}
	o.Close()
	return e
}

func seeds(o *jsonc.Object) []uint64 {
	s := o.Object("seeds")
	first := s.IntIn("first", 1, 0, math.MaxInt32)
	count := s.IntIn("count", 10, 1, maxSeeds)
	s.Close()
	var all []uint64
	for i := range count {
		all = append(all, uint64(first+i))
	}
	return all
}

func (p *parser) group(o *jsonc.Object) WorkerGroup {
	return WorkerGroup{
		Name:     newName(o, p.groups),
		Workers:  int(requiredIn(o, "workers", 1, maxWorkers)),
		Capacity: size(o),
		Racks:    int(o.IntIn("racks", 1, 1, maxWorkers)),
		Joins:    o.DurationIn("joins", 0, 0, maxDay),
	}
}

func (p *parser) queue(o *jsonc.Object) batch.Queue {
	return batch.Queue{
		Name: newName(o, p.queues), Priority: int(o.IntIn("priority", 0, 0, maxNumber)), Attempts: int(o.IntIn("attempts", 0, 0, maxNumber)),
		Slack: o.FloatIn("slack", 2, 0, maxNumber), Target: o.DurationIn("target", time.Second, 0, maxDay),
	}
}

func (p *parser) service(o *jsonc.Object) Service {
	s := Service{
		Name: newName(o, p.names), Queue: known(o, "queue", p.queues), Tasks: int(requiredIn(o, "tasks", 1, maxTasks)), Size: size(o),
		TailTarget: o.DurationIn("tailTarget", 20*time.Millisecond, time.Millisecond, time.Minute), Baseline: o.FloatIn("baseline", 2.2, 0.1, maxNumber),
		Swing: o.FloatIn("swing", 0, 0, maxNumber), Period: o.DurationIn("period", 10*time.Second, tick, maxDay), Use: o.FloatIn("use", 0.45, 0, 1),
		Startup: o.DurationIn("startup", 500*time.Millisecond, 0, time.Hour), MaxUnavailable: int(o.IntIn("maxUnavailable", 0, 0, maxTasks)),
		MaxPerWorker: int(o.IntIn("maxPerWorker", 0, 0, maxTasks)),
		Worth:        o.FloatIn("worth", 1, 0, maxNumber),
	}
	s.Image = stringOr(o, "image", s.Name)
	p.serving[s.Image] = true
	return s
}

func (p *parser) jobKind(o *jsonc.Object, day time.Duration) JobKind {
	k := JobKind{
		Name: newName(o, p.names), Queue: known(o, "queue", p.queues), PerSecond: o.FloatIn("perSecond", 1, 0, maxNumber),
		From: o.DurationIn("from", 0, 0, day), Until: o.DurationIn("until", day, 0, day),
		LateWorth: o.FloatIn("lateWorth", 0.3, 0, 1), Worth: o.FloatIn("worth", 1, 0, maxNumber),
	}
	k.LeastDeclared, k.MostDeclared = numbers(o, "declared", 1, 1, 0.01, 100)
	steps := map[string]int{}
	k.Steps = jsonc.Each(o, "steps", func(o *jsonc.Object) Step { return p.step(o, k.Name, steps) })
	if len(k.Steps) == 0 {
		o.FaultAt("steps", "is empty")
	}
	return k
}

func (p *parser) step(o *jsonc.Object, kind string, steps map[string]int) Step {
	names := map[string]bool{}
	for name := range steps {
		names[name] = true
	}
	s := Step{Name: newName(o, names), Size: size(o), Filler: o.BoolOr("filler", false), Checkpoints: o.BoolOr("checkpoints", false)}
	s.Image = stringOr(o, "image", kind)
	p.images[s.Image] = true
	least, most := numbers(o, "tasks", 1, 1, 1, maxTasks)
	if least != math.Floor(least) || most != math.Floor(most) {
		o.FaultAt("tasks", "is not a whole number")
	}
	s.LeastTasks, s.MostTasks = int(least), int(most)
	s.LeastTime, s.MostTime = times(o, "runTime")
	s.MaxPerWorker = int(o.IntIn("maxPerWorker", 0, 0, maxTasks))
	for _, v := range o.List("after") {
		name, isText := v.Text()
		i, declared := steps[name]
		if isText && !declared {
			v.Faultf("%.80q is no earlier step", name)
		}
		s.After = append(s.After, i)
	}
	steps[s.Name] = len(steps)
	return s
}

func (p *parser) pair(o *jsonc.Object) Pair {
	return Pair{Serving: known(o, "service", p.serving), Beside: known(o, "image", p.images), Loss: o.FloatIn("loses", 0, 0, maxNumber)}
}

func disruption(o *jsonc.Object, end time.Duration) Disruption {
	all := []DisruptionKind{Leave, Crash, Silent, Shrink, LeaderChange, StoreSlow, StoreAway}
	d := Disruption{Kind: DisruptionKind(o.String("kind")), At: o.DurationIn("at", 0, 0, end), For: o.DurationIn("for", 2*time.Second, tick, maxDay)}
	if o.Has("kind") && !slices.Contains(all, d.Kind) {
		o.FaultAt("kind", "%.80q is not one of %v", d.Kind, all)
	}
	if d.Kind.hitsWorkers() {
		d.Workers = int(o.IntIn("workers", 1, 1, maxWorkers))
	}
	if d.Kind == Shrink {
		d.Left = o.FloatIn("left", 0.5, 0, 1)
	}
	return d
}

// hitsWorkers reports whether a disruption of the kind is one of workers.
func (k DisruptionKind) hitsWorkers() bool {
	return k == Leave || k == Crash || k == Silent || k == Shrink
}

func (p *parser) policy(o *jsonc.Object) Policy {
	policy := DefaultPolicy(newName(o, p.policies))
	policy.PlanEvery = o.DurationIn("planEvery", policy.PlanEvery, time.Millisecond, time.Minute)
	policy.PollWait = o.DurationIn("pollWait", policy.PollWait, time.Millisecond, time.Minute)
	policy.Timing.Lease = o.DurationIn("lease", policy.Timing.Lease, time.Second, time.Minute)
	policy.Timing.MaxLease = o.DurationIn("maxLease", max(policy.Timing.MaxLease, policy.Timing.Lease), policy.Timing.Lease, time.Hour)
	policy.AllocateFillers = o.BoolOr("allocateFillers", false)
	policy.Priorities = replacements(o, "priorities", p.queues, maxNumber)
	policy.Workers = replacements(o, "workers", p.groups, maxWorkers)
	return policy
}

// replacements reads an optional object with a number for some of the known names.
func replacements(o *jsonc.Object, field string, names map[string]bool, most int64) map[string]int {
	values := map[string]int{}
	r := o.Object(field)
	for _, name := range r.Names() {
		values[name] = int(r.IntIn(name, 0, 0, most))
		if !names[name] {
			r.FaultAt(name, "is not declared")
		}
	}
	return values
}

// size reads the processors and the memory of a worker or a task.
func size(o *jsonc.Object) share.Resources {
	cores := 0.0
	if v, ok := o.Required("processors"); ok {
		cores = jsonc.InRange(o, "processors", v.Float(), 0, maxCores)
	}
	memory := jsonc.InRange(o, "memory", o.SizeOr("memory", 1<<30), 0, maxMemory)
	return share.Resources{Processors: share.MilliCores(math.Round(float64(cores * 1000))), Memory: share.Bytes(memory)}
}

// numbers reads an optional number, or a list of the least and the greatest one.
func numbers(o *jsonc.Object, field string, least, most, low, high float64) (float64, float64) {
	v, ok := o.Optional(field)
	if !ok {
		return least, most
	}
	bounds := pairOf(v, jsonc.Value.Float)
	return jsonc.InRange(o, field, bounds[0], low, high), jsonc.InRange(o, field, bounds[1], max(low, bounds[0]), high)
}

// times reads a required duration, or a list of the least and the greatest one.
func times(o *jsonc.Object, field string) (time.Duration, time.Duration) {
	v, ok := o.Required(field)
	if !ok {
		return time.Millisecond, time.Millisecond
	}
	bounds := pairOf(v, jsonc.Value.Duration)
	return jsonc.InRange(o, field, bounds[0], time.Millisecond, maxDay), jsonc.InRange(o, field, bounds[1], max(time.Millisecond, bounds[0]), maxDay)
}

// pairOf reads a list of two values, or a value that stands for both.
func pairOf[T any](v jsonc.Value, read func(jsonc.Value) T) [2]T {
	if !v.IsList() {
		value := read(v)
		return [2]T{value, value}
	}
	elements := v.List()
	if len(elements) != 2 {
		v.Faultf("has %d elements, not the least and the greatest value", len(elements))
		return [2]T{}
	}
	return [2]T{read(elements[0]), read(elements[1])}
}

// newName reads a name and adds it to the names.
func newName(o *jsonc.Object, names map[string]bool) string {
	name := o.String("name")
	if names[name] && name != "" {
		o.FaultAt("name", "%.80q stands twice", name)
	}
	names[name] = true
	return name
}

// known reads a required name that is declared elsewhere.
func known(o *jsonc.Object, field string, names map[string]bool) string {
	name := o.String(field)
	if !names[name] && name != "" {
		o.FaultAt(field, "%.80q is not declared", name)
	}
	return name
}

func stringOr(o *jsonc.Object, field, fallback string) string {
	if o.Has(field) {
		return o.String(field)
	}
	return fallback
}

func requiredIn(o *jsonc.Object, field string, low, high int64) int64 {
	if !o.Has(field) {
		o.Required(field)
		return low
	}
	return o.IntIn(field, low, low, high)
}
