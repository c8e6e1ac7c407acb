package laboratory

import (
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is that of the intervals of a Comparison.
const confidence = 0.95

// Difference is the mean of the differences between two policies on the same seeds, with the half
// width of its confidence interval. Higher is the number of seeds on which the difference is above
// zero, Seeds that of all seeds.
type Difference struct {
	Name      string
	Mean      float64
	HalfWidth float64
	Higher    int
	Seeds     int
}

// IsClear reports whether the interval does not contain zero.
func (d Difference) IsClear() bool {
	return d.Seeds > 1 && (d.Mean-d.HalfWidth > 0 || d.Mean+d.HalfWidth < 0)
}

// Comparison is what a policy earns more than another one on the same seeds.
type Comparison struct {
	Policy, Base string
	Worth        Difference
	Kinds        []Difference
}

// Compare pairs the outcomes of two policies by seed. Both results are of the same experiment.
func Compare(base, other Result) Comparison {
	c := Comparison{Policy: other.Policy.Name, Base: base.Policy.Name}
	n := len(base.Outcomes)
	worth := make([]float64, n)
	for i := range worth {
		worth[i] = other.Outcomes[i].Worth - base.Outcomes[i].Worth
	}
	c.Worth = difference("worth", worth)
	if n == 0 {
		return c
	}
	for k, kind := range base.Outcomes[0].Kinds {
		shares := make([]float64, n)
		for i := range shares {
			shares[i] = other.Outcomes[i].Kinds[k].Share - base.Outcomes[i].Kinds[k].Share
		}
		c.Kinds = append(c.Kinds, difference(kind.Name, shares))
	}
	return c
}

// difference returns the mean of differences with the interval of Student's t distribution. One
// difference alone has no interval; its half width is zero.
func difference(name string, values []float64) Difference {
	d := Difference{Name: name, Seeds: len(values)}
	if len(values) == 0 {
		return d
	}
	for _, v := range values {
		if v > 0 {
			d.Higher++
		}
	}
	if len(values) == 1 {
		d.Mean = values[0]
		return d
	}
	mean, stdDev := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(len(values) - 1)}
	d.Mean, d.HalfWidth = mean, t.Quantile((1+confidence)/2)*stat.StdErr(stdDev, float64(len(values)))
	return d
}
