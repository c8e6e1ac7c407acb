package operate_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// metricName matches names of metrics in Go sources, without their labels.
var metricName = regexp.MustCompile("[\"`](oriolepond_[a-z0-9_]+)[\"`{]")

// namingRule matches valid names of metrics.
var namingRule = regexp.MustCompile(`^oriolepond_[a-z]+(_[a-z0-9]+)+$`)

// metricsInCode returns the names of all metrics in the sources, sorted.
func metricsInCode(t *testing.T) []string {
	var names []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range metricName.FindAllStringSubmatch(string(text), -1) {
			names = append(names, m[1])
		}
		return err
	})
	require.NoError(t, err)
	slices.Sort(names)
	return slices.Compact(names)
}

func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(root + "/docs/METRICS.md")
	require.NoError(t, err)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(oriolepond_[a-z0-9_]+)").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	slices.Sort(documented)
	names := metricsInCode(t)
	require.NotEmpty(t, names)
	require.Equal(t, names, documented, "docs/METRICS.md must list each metric of the code in exactly one row")
	for _, name := range names {
		require.Regexp(t, namingRule, name)
	}
}
