package release

import (
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Defaults of declarations that leave a field out.
const (
	defaultDeadline        = 2 * time.Second
	defaultProgressTimeout = 10 * time.Second
	defaultMaxBody         = 1 << 20
	defaultMaxStarts       = 5
	defaultRunTime         = time.Minute
	defaultMinRunTime      = 30 * time.Second
	defaultEvictions       = 60
	defaultTailWeight      = 0.5
	defaultObjectiveRatio  = 0.99
)

// Parse reads a release note in JSON with comments. The error is a
// *jsonc.SyntaxError or a *jsonc.FaultsError with every fault.
func Parse(file string, text []byte) (Note, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return Note{}, err
	}
	root := doc.Root()
	n := Note{
		Name:      root.String("name"),
		Added:     parseDeclarations(root.Object("added")),
		Changed:   parseDeclarations(root.Object("changed")),
		Withdrawn: parseWithdrawals(root.Object("withdrawn")),
	}
	root.Close()
	if err := doc.Err(); err != nil {
		return Note{}, err
	}
	return n, nil
}

// ParseConfig reads a configuration as EncodeConfig writes it.
func ParseConfig(file string, text []byte) (Config, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return Config{}, err
	}
	root := doc.Root()
	c := Config{Revision: root.Int("revision")}
	for _, v := range root.List("notes") {
		c.Notes = append(c.Notes, v.String())
	}
	c.Declarations = parseDeclarations(root.Object("declarations"))
	root.Close()
	if err := doc.Err(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func parseDeclarations(o *jsonc.Object) Declarations {
	d := Declarations{
		Neighbours: parseEach(o, "neighbours", parseNeighbour),
		Shares:     parseEach(o, "shares", parseShare),
		Services:   parseEach(o, "services", parseService),
		Jobs:       parseEach(o, "jobs", parseJob),
		YieldRules: parseEach(o, "yieldRules", parseYieldRule),
	}
	o.Close()
	return d
}

func parseEach[T any](o *jsonc.Object, name string, parse func(*jsonc.Object) T) []T {
	var all []T
	for _, v := range o.List(name) {
		e := v.Object()
		all = append(all, parse(e))
		e.Close()
	}
	return all
}

// withdrawalKinds are the lists of a note's withdrawn section.
var withdrawalKinds = []struct {
	list string
	kind Kind
}{
	{"neighbours", KindNeighbour},
	{"shares", KindShare},
	{"services", KindService},
	{"jobs", KindJob},
	{"yieldRules", KindYieldRule},
}

func parseWithdrawals(o *jsonc.Object) []Withdrawal {
	var all []Withdrawal
	for _, k := range withdrawalKinds {
		for _, v := range o.List(k.list) {
			all = append(all, Withdrawal{Kind: k.kind, Name: v.String()})
		}
	}
	o.Close()
	return all
}

func parseNeighbour(o *jsonc.Object) share.Neighbour {
	return share.Neighbour{
		Name:      o.String("name"),
		TokenHash: o.String("tokenHash"),
		Region:    o.String("region"),
	}
}

func parseShare(o *jsonc.Object) share.Share {
	return share.Share{
		Name:      o.String("name"),
		Neighbour: o.String("neighbour"),
		Quota:     parseResources(o.Object("quota")),
		Weight:    int(o.IntOr("weight", 1)),
	}
}

func parseResources(o *jsonc.Object) share.Resources {
	r := share.Resources{
		Processors:   share.MilliCores(math.Round(o.FloatOr("processors", 0) * 1000)),
		Memory:       share.Bytes(o.SizeOr("memory", 0)),
		Accelerators: share.Accelerators(o.IntOr("accelerators", 0)),
	}
	o.Close()
	if r.IsNegative() {
		o.Value().Faultf("holds a negative amount")
	}
	return r
}

func parseService(o *jsonc.Object) Service {
	s := Service{
		Name:      o.String("name"),
		Neighbour: o.String("neighbour"),
		Share:     o.String("share"),
		Runner:    parseResources(o.Object("runner")),
	}
	objective := o.Object("objective")
	s.Objective = Objective{
		Latency: objective.DurationOr("latency", defaultDeadline),
		Ratio:   objective.FloatOr("ratio", defaultObjectiveRatio),
	}
	objective.Close()
	s.Routes = parseEach(o, "routes", parseRoute)
	return s
}

func parseRoute(o *jsonc.Object) Route {
	return Route{
		Path:            o.String("path"),
		Class:           parseEnum(o, "class", Idempotent, Idempotent, NonIdempotent, Stream),
		Deadline:        o.DurationOr("deadline", defaultDeadline),
		MaxRequest:      share.Bytes(o.SizeOr("maxRequest", defaultMaxBody)),
		MaxAnswer:       share.Bytes(o.SizeOr("maxAnswer", defaultMaxBody)),
		Retries:         int(o.IntOr("retries", 0)),
		HedgeAfter:      o.DurationOr("hedgeAfter", 0),
		ProgressTimeout: o.DurationOr("progressTimeout", defaultProgressTimeout),
	}
}

func parseJob(o *jsonc.Object) Job {
	return Job{
		Name:        o.String("name"),
		Neighbour:   o.String("neighbour"),
		Share:       o.String("share"),
		Size:        parseResources(o.Object("size")),
		RunTime:     o.DurationOr("runTime", defaultRunTime),
		Urgent:      o.BoolOr("urgent", false),
		Checkpoints: o.BoolOr("checkpoints", false),
		MaxStarts:   int(o.IntOr("maxStarts", defaultMaxStarts)),
	}
}

func parseYieldRule(o *jsonc.Object) share.YieldRule {
	return share.YieldRule{
		Name:             o.String("name"),
		Yields:           o.String("yields"),
		To:               o.String("to"),
		Limit:            parseEnum(o, "limit", share.YieldThrottle, share.YieldThrottle, share.YieldCheckpoint, share.YieldEvict),
		MinRunTime:       o.DurationOr("minRunTime", defaultMinRunTime),
		EvictionsPerHour: int(o.IntOr("evictionsPerHour", defaultEvictions)),
		TailWeight:       o.FloatOr("tailWeight", defaultTailWeight),
	}
}

// parseEnum reads an optional string that must be one of the allowed values.
func parseEnum[T ~string](o *jsonc.Object, name string, missing T, allowed ...T) T {
	v, ok := o.Optional(name)
	if !ok {
		return missing
	}
	s := T(v.String())
	if !slices.Contains(allowed, s) {
		v.Faultf("%q is not one of %v", s, allowed)
	}
	return s
}
