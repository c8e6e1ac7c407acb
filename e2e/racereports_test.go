package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against data races in started processes that no test reports.
func TestRaceReportsOfProcesses(t *testing.T) {
	const report = "WARNING: DATA RACE\nWrite at 0x00c0 by goroutine 8:\n  main.main.func1()\n"
	const line = `{"event":4001}` + "\n"
	cases := []struct {
		name string
		log  string
		want []string
	}{
		{"none", line, nil},
		{"between lines", line + raceRule + "\n" + report + raceRule + "\n" + line, []string{report}},
		{"two", raceRule + "\n" + report + raceRule + "\n" + raceRule + "\n" + report + raceRule + "\nexit status 66\n", []string{report, report}},
		{"cut off by a kill", line + raceRule + "\n" + report, []string{report}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, raceReports(c.log))
		})
	}
}
