package release

import (
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Defaults of fields that a declaration leaves out.
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

// Limits of the values of fields.
const (
	maxProcessors      = 1_000_000 // Cores.
	maxMemory          = 1 << 50   // Bytes.
	maxAccelerators    = 1_000_000
	maxWeight          = 1000
	minDeadline        = time.Millisecond
	maxDeadline        = 10 * time.Minute
	maxBody            = 64 << 20 // Bytes.
	maxRetries         = 10
	minProgressTimeout = 100 * time.Millisecond
	maxProgressTimeout = time.Hour
	minRunTime         = time.Millisecond
	maxRunTime         = 30 * 24 * time.Hour
	maxStarts          = 1000
	maxEvictions       = 1_000_000
	maxPathBytes       = 256
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func parseNeighbour(o *jsonc.Object) share.Neighbour {
	n := share.Neighbour{Name: name(o, "name"), Region: name(o, "region")}
	if v, ok := o.Required("tokenHash"); ok {
		n.TokenHash = v.String()
		if !hashPattern.MatchString(n.TokenHash) {
			v.Faultf("is not a lower-case hexadecimal SHA-256 (64 digits)")
		}
	}
	return n
}

func parseShare(o *jsonc.Object) share.Share {
	return share.Share{
		Name:      name(o, "name"),
		Neighbour: name(o, "neighbour"),
		Quota:     parseResources(o, "quota"),
		Weight:    int(o.IntIn("weight", 1, 1, maxWeight)),
	}
}

// parseResources reads a required amount of resources. At least one resource must be above zero.
func parseResources(parent *jsonc.Object, field string) share.Resources {
	v, ok := parent.Required(field)
	if !ok {
		return share.Resources{}
	}
	o := v.Object()
	cores := o.FloatIn("processors", 0, 0, maxProcessors)
	r := share.Resources{
		Processors:   share.MilliCores(math.Round(cores * 1000)),
		Memory:       share.Bytes(o.SizeIn("memory", 0, 0, maxMemory)),
		Accelerators: share.Accelerators(o.IntIn("accelerators", 0, 0, maxAccelerators)),
	}
	o.Close()
	if r == (share.Resources{}) {
		v.Faultf("is zero in everything")
	}
	return r
}

func parseService(o *jsonc.Object) Service {
	s := Service{
		Name:      name(o, "name"),
		Neighbour: name(o, "neighbour"),
		Share:     name(o, "share"),
		Runner:    parseResources(o, "runner"),
	}
	objective := o.Object("objective")
	s.Objective = Objective{
		Latency: objective.DurationIn("latency", defaultDeadline, minDeadline, maxDeadline),
		Ratio:   objective.FloatOr("ratio", defaultObjectiveRatio),
	}
	if s.Objective.Ratio <= 0 || s.Objective.Ratio >= 1 {
		objective.FaultAt("ratio", "is not between 0 and 1, both excluded")
	}
	objective.Close()
	s.Routes = jsonc.Each(o, "routes", parseRoute)
	checkRoutes(o, s.Routes)
	return s
}

func parseRoute(o *jsonc.Object) Route {
	r := Route{
		Path:            o.String("path"),
		Class:           parseEnum(o, "class", Idempotent, Idempotent, NonIdempotent, Stream),
		Deadline:        o.DurationIn("deadline", defaultDeadline, minDeadline, maxDeadline),
		MaxRequest:      share.Bytes(o.SizeIn("maxRequest", defaultMaxBody, 0, maxBody)),
		MaxAnswer:       share.Bytes(o.SizeIn("maxAnswer", defaultMaxBody, 1, maxBody)),
		Retries:         int(o.IntIn("retries", 0, 0, maxRetries)),
		HedgeAfter:      o.DurationIn("hedgeAfter", 0, 0, maxDeadline),
		ProgressTimeout: o.DurationIn("progressTimeout", defaultProgressTimeout, minProgressTimeout, maxProgressTimeout),
	}
	if r.HedgeAfter > 0 && r.Class != Idempotent {
		o.FaultAt("hedgeAfter", "only idempotent requests may be sent twice, and this route is %s", r.Class)
	}
	if r.HedgeAfter > 0 && r.HedgeAfter >= r.Deadline {
		o.FaultAt("hedgeAfter", "is not below the deadline of %v", r.Deadline)
	}
	return r
}

// checkRoutes checks that a service has routes, and that their paths are well-formed and do not
// overlap.
func checkRoutes(o *jsonc.Object, routes []Route) {
	if len(routes) == 0 {
		o.FaultAt("routes", "a service needs at least one route")
		return
	}
	elements := o.List("routes")
	for i, r := range routes {
		if r.Path != "" && !isPlainPath(r.Path) {
			elements[i].Faultf("path %.80q is not plain: it begins with a slash, has no empty, dotted or special part, and at most %d bytes", r.Path, maxPathBytes)
		}
		for _, other := range routes[:i] {
			if pathsOverlap(r.Path, other.Path) {
				elements[i].Faultf("path %q overlaps with %q within a part of the path", r.Path, other.Path)
			}
		}
	}
}

var pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9_~.-]+)+$`)

// isPlainPath reports whether a path has at most maxPathBytes bytes and consists of segments that
// are neither empty nor dots nor contain special characters.
func isPlainPath(p string) bool {
	if p == "/" {
		return true
	}
	dotted := slices.ContainsFunc(strings.Split(p, "/"), func(segment string) bool { return segment == "." || segment == ".." })
	return len(p) <= maxPathBytes && !dotted && pathPattern.MatchString(p)
}

// pathsOverlap reports whether two paths are equal, or the shorter is a prefix of the longer that
// ends in the middle of a segment, like /ab and /abc. A prefix of whole segments, like /ab and
// /ab/c, is no overlap.
func pathsOverlap(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	if a == "" || !strings.HasPrefix(b, a) {
		return false
	}
	return a == b || (a != "/" && b[len(a)] != '/')
}

func parseJob(o *jsonc.Object) Job {
	return Job{
		Name:        name(o, "name"),
		Neighbour:   name(o, "neighbour"),
		Share:       name(o, "share"),
		Size:        parseResources(o, "size"),
		RunTime:     o.DurationIn("runTime", defaultRunTime, minRunTime, maxRunTime),
		Urgent:      o.BoolOr("urgent", false),
		Checkpoints: o.BoolOr("checkpoints", false),
		MaxStarts:   int(o.IntIn("maxStarts", defaultMaxStarts, 1, maxStarts)),
	}
}

func parseYieldRule(o *jsonc.Object) share.YieldRule {
	r := share.YieldRule{
		Name:             name(o, "name"),
		Yields:           name(o, "yields"),
		To:               name(o, "to"),
		Limit:            parseEnum(o, "limit", share.YieldThrottle, share.YieldThrottle, share.YieldCheckpoint, share.YieldEvict),
		MinRunTime:       o.DurationIn("minRunTime", defaultMinRunTime, 0, maxRunTime),
		EvictionsPerHour: int(o.IntIn("evictionsPerHour", defaultEvictions, 0, maxEvictions)),
		TailWeight:       o.FloatIn("tailWeight", defaultTailWeight, 0, 1),
	}
	if r.Yields == r.To && r.To != "" {
		o.FaultAt("to", "a share cannot yield to itself")
	}
	return r
}

// parseEnum reads an optional string that must be one of the allowed values, and returns the
// fallback if the field is left out.
func parseEnum[T ~string](o *jsonc.Object, field string, fallback T, allowed ...T) T {
	v, ok := o.Optional(field)
	if !ok {
		return fallback
	}
	s, ok := v.Text()
	if ok && !slices.Contains(allowed, T(s)) {
		v.Faultf("%.80q is not one of %v", s, allowed)
	}
	return T(s)
}
