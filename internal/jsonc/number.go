package jsonc

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Float returns the value as a number. Another type is a fault and gives 0.
func (v Value) Float() float64 {
	l, ok := v.literal('0')
	if !ok {
		v.Faultf("is not a number")
		return 0
	}
	f, err := strconv.ParseFloat(string(l), 64)
	if err != nil || math.IsInf(f, 0) {
		v.Faultf("is not a number that can be held")
		return 0
	}
	return f
}

// Int returns the value as a whole number. Anything else is a fault and gives 0.
func (v Value) Int() int64 {
	l, ok := v.literal('0')
	if !ok {
		v.Faultf("is not a whole number")
		return 0
	}
	n, err := strconv.ParseInt(string(l), 10, 64)
	if err != nil {
		v.Faultf("is not a whole number")
		return 0
	}
	return n
}

// Duration returns the duration given by a string such as "250ms". Anything else, or a negative
// duration, is a fault and gives 0.
func (v Value) Duration() time.Duration {
	l, ok := v.literal('"')
	if !ok {
		v.Faultf(`is not a duration such as "250ms"`)
		return 0
	}
	d, err := time.ParseDuration(l.String())
	if err != nil {
		v.Faultf(`%q is not a duration such as "250ms"`, l.String())
		return 0
	}
	if d < 0 {
		v.Faultf("is negative")
		return 0
	}
	return d
}

// byteUnits are the units of a size, longest first, because the suffix "B" matches all of them.
var byteUnits = []struct {
	suffix string
	size   int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"kB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

// Size returns the number of bytes given by a string such as "64MiB" or by a whole number. Anything
// else is a fault and gives 0.
func (v Value) Size() int64 {
	if _, ok := v.literal('0'); ok {
		return v.Int()
	}
	l, ok := v.literal('"')
	if !ok {
		v.Faultf(`is not a size such as "64MiB"`)
		return 0
	}
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(l.String(), u.suffix)
		if !ok {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || f < 0 || f*float64(u.size) > math.MaxInt64/2 {
			break
		}
		return int64(f * float64(u.size))
	}
	v.Faultf(`%q is not a size such as "64MiB"`, l.String())
	return 0
}
