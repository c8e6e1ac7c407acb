package interference

import "math"

// Risk learns which aggressors harm which victims, as a probability by pair.
//
// Where tasks last only seconds and tails grow beyond all bounds as soon as a
// worker is short of what a pair shares, an additive model of strain is of
// little use: a single measurement upsets it. Risk only asks whether a victim
// missed its target beside a set of aggressors. A measurement within the target
// clears all that were present; one beyond it is laid to the likeliest of
// them (a noisy-or model). The zero value knows nothing. It is not safe for
// concurrent use.
type Risk struct {
	// pairs are by victim and aggressor.
	pairs [][]pairRisk
}

// pairRisk is the probability that one aggressor harms one victim.
type pairRisk struct {
	known bool
	risk  float64
	// own and others are what was added to the prior log odds by this model's own
	// measurements, and by those of others.
	own    float64
	others float64
}

// settle computes the probability from the evidence.
func (p *pairRisk) settle() {
	odds := max(-greatestOdds, min(greatestOdds, priorOdds+p.own+p.others))
	p.risk = 1 / (1 + math.Exp(-odds))
}

// priorOdds are the log odds of priorRisk.
var priorOdds = logOdds(priorRisk)

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }

// Presence is how much of a worker's processors an aggressor used, from 0 to 1.
type Presence struct {
	Aggressor int
	Part      float64
}

const (
	// priorRisk is the probability of harm of a pair that was never measured.
	priorRisk = 0.2
	// missAlone is the probability that a victim misses its target undisturbed, at its busy times.
	missAlone = 0.05
	// missRate turns the part of a worker that a harmful aggressor uses into the
	// probability of a miss: a tenth of a worker gives about a half.
	missRate = 7
	// temper discounts measurements, since those that follow each other share much of their window.
	temper = 0.5
	// leastPart is the part below which an aggressor is not regarded.
	leastPart = 0.02
	// greatestOdds keeps a pair open to new measurements, and leastRisk is the probability that follows.
	greatestOdds = 4
	leastRisk    = 0.018
)

// Of returns the probability that an aggressor harms a victim. Both are numbered from 0.
func (r *Risk) Of(victim, aggressor int) float64 {
	if victim >= len(r.pairs) || aggressor >= len(r.pairs[victim]) || r.pairs[victim][aggressor].risk == 0 {
		return priorRisk
	}
	return r.pairs[victim][aggressor].risk
}

// Known returns the probability for a pair by this model's own measurements,
// and whether there are any.
func (r *Risk) Known(victim, aggressor int) (float64, bool) {
	if victim >= len(r.pairs) || aggressor >= len(r.pairs[victim]) {
		return 0, false
	}
	p := r.pairs[victim][aggressor]
	p.others = 0
	p.settle()
	return p.risk, p.known
}

// Set takes the probability for a pair from an earlier model.
func (r *Risk) Set(victim, aggressor int, risk float64) {
	p := r.pair(victim, aggressor)
	p.known, p.own = true, evidence(risk)
	p.settle()
}

// SetOthers takes the probabilities for a pair by models that have measured it
// elsewhere, in place of what they told before.
func (r *Risk) SetOthers(victim, aggressor int, risks ...float64) {
	p := r.pair(victim, aggressor)
	p.others = 0
	for _, risk := range risks {
		p.others += evidence(risk)
	}
	p.settle()
}

// evidence returns what measurements have added to the prior log odds.
func evidence(risk float64) float64 {
	return logOdds(max(leastRisk, min(1-leastRisk, risk))) - priorOdds
}

// pair returns a pair for a change.
func (r *Risk) pair(victim, aggressor int) *pairRisk {
	for victim >= len(r.pairs) {
		r.pairs = append(r.pairs, nil)
	}
	row := r.pairs[victim]
	for aggressor >= len(row) {
		row = append(row, pairRisk{})
	}
	r.pairs[victim] = row
	return &row[aggressor]
}

// Observe takes whether a victim missed its target beside aggressors.
func (r *Risk) Observe(victim int, beside []Presence, missed bool) {
	// clear is the probability that none of them causes a miss.
	clear := 1 - missAlone
	for _, p := range beside {
		clear *= 1 - r.Of(victim, p.Aggressor)*causes(p)
	}
	for _, p := range beside {
		if p.Part < leastPart {
			continue
		}
		risk, cause := r.Of(victim, p.Aggressor), causes(p)
		others := clear / (1 - risk*cause)
		// The likelihoods of what was measured, if the pair is harmful and if it is not.
		harmful, harmless := others*(1-cause), others
		if missed {
			harmful, harmless = 1-harmful, 1-harmless
		}
		before := logOdds(risk)
		odds := max(-greatestOdds, min(greatestOdds, before+temper*math.Log(harmful/harmless)))
		pair := r.pair(victim, p.Aggressor)
		pair.known, pair.own, pair.risk = true, pair.own+odds-before, 1/(1+math.Exp(-odds))
	}
}

// causes returns the probability that a harmful aggressor causes a miss.
func causes(p Presence) float64 { return 1 - math.Exp(-missRate*p.Part) }
