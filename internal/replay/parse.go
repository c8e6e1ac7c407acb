package replay

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// ParseTrace parses a trace file.
func ParseTrace(file string, text []byte) (Trace, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return Trace{}, err
	}
	o := doc.Root()
	t := Trace{
		Name:        o.String("name"),
		Seed:        uint64(o.Int("seed")),
		Duration:    o.Duration("duration"),
		MeasureFrom: o.Duration("measureFrom"),
		Window:      o.Duration("window"),
		Lag:         o.Duration("lag"),
		Fleets:      jsonc.Each(o, "fleets", readFleet),
		Services:    jsonc.Each(o, "services", readService),
		Loads:       jsonc.Each(o, "loads", readLoad),
		Families:    jsonc.Each(o, "families", readFamily),
		Slowdowns:   jsonc.Each(o, "slowdowns", readSlowdown),
		Users:       jsonc.Each(o, "users", readUser),
		Submissions: jsonc.Each(o, "submissions", readSubmission),
	}
	wave := o.Object("wave")
	t.Wave = Wave{From: wave.DurationOr("from", 0), To: wave.DurationOr("to", 0)}
	wave.Close()
	outcomes := o.Object("outcomes")
	t.Outcomes = Outcomes{
		MaxTailRatio:       outcomes.FloatOr("tailRatio", 0),
		MinThroughputRatio: outcomes.FloatOr("throughputRatio", 0),
		MaxEvictionRatio:   outcomes.FloatOr("evictionRatio", 0),
		MaxRecoveryLags:    outcomes.FloatOr("recoveryLags", 0),
	}
	outcomes.Close()
	o.Close()
	return t, doc.Err()
}

func readResources(o *jsonc.Object) share.Resources {
	r := share.Resources{
		Processors:   share.MilliCores(o.FloatOr("processors", 0) * 1000),
		Memory:       share.Bytes(o.SizeOr("memory", 0)),
		Accelerators: share.Accelerators(o.IntOr("accelerators", 0)),
	}
	o.Close()
	return r
}

func readFleet(o *jsonc.Object) Fleet {
	return Fleet{
		Count:      int(o.Int("count")),
		PerRack:    int(o.Int("perRack")),
		DataCentre: o.String("dataCentre"),
		Capacity:   readResources(o.Object("capacity")),
	}
}

func readService(o *jsonc.Object) Service {
	return Service{
		Name:      o.String("name"),
		Share:     o.String("share"),
		Runners:   int(o.Int("runners")),
		Runner:    readResources(o.Object("runner")),
		Objective: o.Duration("objective"),
		P99:       o.Duration("p99"),
	}
}

func readLoad(o *jsonc.Object) LoadShift {
	return LoadShift{At: o.Duration("at"), Service: o.String("service"), Load: o.FloatOr("load", 1)}
}

func readFamily(o *jsonc.Object) Family {
	return Family{
		Name:        o.String("name"),
		Share:       o.String("share"),
		Declared:    readResources(o.Object("declared")),
		True:        readResources(o.Object("true")),
		Urgent:      o.BoolOr("urgent", false),
		Checkpoints: o.BoolOr("checkpoints", false),
	}
}

func readSlowdown(o *jsonc.Object) Slowdown {
	return Slowdown{Victim: o.String("victim"), Aggressor: o.String("aggressor"), By: o.FloatOr("by", 0)}
}

func readUser(o *jsonc.Object) User {
	return User{Name: o.String("name"), Rule: share.YieldRule{
		Name:             o.String("name"),
		Yields:           o.String("yields"),
		To:               o.String("to"),
		Limit:            share.YieldAction(o.String("limit")),
		MinRunTime:       o.DurationOr("minRunTime", 0),
		EvictionsPerHour: int(o.Int("evictionsPerHour")),
		TailWeight:       o.FloatOr("tailWeight", 0),
	}}
}

// readSubmission reads a submission. A run time under one second is an error.
func readSubmission(o *jsonc.Object) Submission {
	s := Submission{
		At:      o.Duration("at"),
		Family:  o.String("family"),
		Tasks:   int(o.IntOr("tasks", 1)),
		RunTime: o.Duration("runTime"),
	}
	if s.RunTime < time.Second {
		o.Value().Faultf("has a run time under one second")
	}
	return s
}
