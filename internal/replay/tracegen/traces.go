package main

import "time"

// commonHead is the part of the head that all traces share.
const commonHead = `
	"window": "5s",
	"lag": "15s",
	"fleets": [
		{"count": 12, "perRack": 8, "dataCentre": "bajio-a", "capacity": {"processors": 32, "memory": "125GB"}},
		{"count": 12, "perRack": 8, "dataCentre": "bajio-b", "capacity": {"processors": 32, "memory": "125GB"}}
	],
	"services": [
		{"name": "finish", "share": "finishing", "runners": 16, "runner": {"processors": 8, "memory": "16GB"}, "objective": "250ms", "p99": "110ms"}
	],
	"users": [
		// The polishing shop weighs tail latency most.
		{"name": "bajio", "yields": "batch", "to": "finishing", "limit": "evict", "minRunTime": "10s", "evictionsPerHour": 600, "tailWeight": 0.8},
		// The permit office weighs evictions most.
		{"name": "cairo", "yields": "batch", "to": "finishing", "limit": "evict", "minRunTime": "30s", "evictionsPerHour": 120, "tailWeight": 0.3}
	],
	// Hidden from the policies: the fraction by which one task slows the victim down.
	"slowdowns": [
		{"victim": "finish", "aggressor": "review", "by": 0.05},
		{"victim": "finish", "aggressor": "scan", "by": 0.5},
		{"victim": "finish", "aggressor": "render", "by": 0.02},
		{"victim": "finish", "aggressor": "recheck", "by": 0.05},
		{"victim": "finish", "aggressor": "simulate", "by": 0.18},
		{"victim": "finish", "aggressor": "grind", "by": 0.7},
		{"victim": "scan", "aggressor": "scan", "by": 0.25},
		{"victim": "review", "aggressor": "scan", "by": 0.15},
		{"victim": "simulate", "aggressor": "scan", "by": 0.1},
		{"victim": "scan", "aggressor": "simulate", "by": 0.1},
		{"victim": "review", "aggressor": "grind", "by": 0.2},
		{"victim": "grind", "aggressor": "grind", "by": 0.1}
	],
`

// accurateFamilies are families whose declared sizes are right.
const accurateFamilies = `
	"families": [
		{"name": "review", "share": "batch", "declared": {"processors": 4, "memory": "8GB"}, "true": {"processors": 4, "memory": "8GB"}, "checkpoints": true},
		{"name": "scan", "share": "batch", "declared": {"processors": 4, "memory": "12GB"}, "true": {"processors": 4, "memory": "12GB"}, "checkpoints": true},
		{"name": "render", "share": "batch", "declared": {"processors": 2, "memory": "4GB"}, "true": {"processors": 2, "memory": "4GB"}},
		{"name": "recheck", "share": "batch", "declared": {"processors": 2, "memory": "4GB"}, "true": {"processors": 2, "memory": "4GB"}, "urgent": true, "checkpoints": true},
		{"name": "simulate", "share": "batch", "declared": {"processors": 8, "memory": "16GB"}, "true": {"processors": 8, "memory": "16GB"}},
		{"name": "grind", "share": "batch", "declared": {"processors": 4, "memory": "8GB"}, "true": {"processors": 4, "memory": "8GB"}, "checkpoints": true}
	],
`

// inaccurateFamilies are families whose declared sizes are far from the true ones.
const inaccurateFamilies = `
	"families": [
		// Declared at three times the true size.
		{"name": "review", "share": "batch", "declared": {"processors": 12, "memory": "24GB"}, "true": {"processors": 4, "memory": "8GB"}, "checkpoints": true},
		// Declared at a third of the true size.
		{"name": "scan", "share": "batch", "declared": {"processors": 1.3, "memory": "4GB"}, "true": {"processors": 4, "memory": "12GB"}, "checkpoints": true},
		{"name": "render", "share": "batch", "declared": {"processors": 1, "memory": "16GB"}, "true": {"processors": 2, "memory": "4GB"}},
		{"name": "recheck", "share": "batch", "declared": {"processors": 2, "memory": "1GB"}, "true": {"processors": 2, "memory": "4GB"}, "urgent": true, "checkpoints": true},
		{"name": "simulate", "share": "batch", "declared": {"processors": 3, "memory": "16GB"}, "true": {"processors": 8, "memory": "16GB"}}
	],
`

// outcomes are the bounds of traces without a wave.
const outcomes = `
	"outcomes": {"tailRatio": 1.15, "throughputRatio": 0.95, "evictionRatio": 0.5},
`

// waveOutcomes are the bounds of a trace with a wave.
const waveOutcomes = `
	"outcomes": {"tailRatio": 1.15, "throughputRatio": 0.95, "evictionRatio": 0.5, "recoveryLags": 3},
`

// traceLength is the duration of every trace.
const traceLength = 40 * time.Minute

// usualMix returns the usual streams; rate is a factor on the usual rate of submissions.
func usualMix(rate float64) []stream {
	interval := func(d time.Duration) time.Duration { return time.Duration(float64(d) / rate) }
	return []stream{
		{family: "review", to: traceLength, meanInterval: interval(9 * time.Second), maxTasks: 4, minRunTime: 40 * time.Second, maxRunTime: 3 * time.Minute},
		{family: "scan", to: traceLength, meanInterval: interval(16 * time.Second), maxTasks: 3, minRunTime: 60 * time.Second, maxRunTime: 3 * time.Minute},
		{family: "render", to: traceLength, meanInterval: interval(6 * time.Second), maxTasks: 3, minRunTime: 20 * time.Second, maxRunTime: 2 * time.Minute},
		{family: "recheck", to: traceLength, meanInterval: interval(15 * time.Second), maxTasks: 3, minRunTime: 10 * time.Second, maxRunTime: 40 * time.Second},
		{family: "simulate", to: traceLength, meanInterval: interval(25 * time.Second), maxTasks: 2, minRunTime: 60 * time.Second, maxRunTime: 5 * time.Minute},
	}
}

func traces() []trace {
	wave := append(usualMix(1), stream{
		family: "grind", from: 20 * time.Minute, to: 26 * time.Minute,
		meanInterval: 4 * time.Second, maxTasks: 3, minRunTime: 60 * time.Second, maxRunTime: 2 * time.Minute,
	})
	return []trace{
		{name: "steady-mix", seed: 11, streams: usualMix(1.45), head: `
// A steady mix of batch work beside one service.
{
	"duration": "40m", "measureFrom": "10m",` + commonHead + accurateFamilies + outcomes},
		{name: "shifting-load", seed: 12, streams: usualMix(1.3), head: `
// The service's own load doubles and falls while the batch mix stays.
{
	"duration": "40m", "measureFrom": "10m",
	"loads": [
		{"at": "8m", "service": "finish", "load": 1.3},
		{"at": "14m", "service": "finish", "load": 1.6},
		{"at": "20m", "service": "finish", "load": 0.8},
		{"at": "26m", "service": "finish", "load": 1.7},
		{"at": "34m", "service": "finish", "load": 1.0}
	],` + commonHead + accurateFamilies + outcomes},
		{name: "noisy-wave", seed: 13, streams: wave, head: `
// A family that was never measured before arrives in a wave and slows the service down more than any other.
{
	"duration": "40m", "measureFrom": "10m",
	"wave": {"from": "20m", "to": "26m"},` + commonHead + accurateFamilies + waveOutcomes},
		{name: "wrong-sizes", seed: 14, streams: usualMix(1.3), head: `
// Declared sizes are far too large or too small.
{
	"duration": "40m", "measureFrom": "10m",` + commonHead + inaccurateFamilies + outcomes},
		{name: "surge", seed: 16, streams: usualMix(1.3), head: `
// The service's load surges until its tail alone comes near the objective, so
// that throttling is no longer enough.
{
	"duration": "40m", "measureFrom": "10m",
	"loads": [
		{"at": "12m", "service": "finish", "load": 2.1},
		{"at": "18m", "service": "finish", "load": 1.0},
		{"at": "24m", "service": "finish", "load": 1.9},
		{"at": "32m", "service": "finish", "load": 0.9}
	],` + commonHead + accurateFamilies + outcomes},
		{name: "overload", seed: 15, streams: usualMix(2.2), head: `
// More batch work arrives than the workers can run.
{
	"duration": "40m", "measureFrom": "10m",` + commonHead + accurateFamilies + outcomes},
	}
}
