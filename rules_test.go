package oriolepond_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every test and fault case that docs/RULES.md names exists.
func TestRulesNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("docs", "RULES.md"))
	require.NoError(t, err)
	var code strings.Builder
	err = filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	require.NoError(t, err)
	names := regexp.MustCompile("`(Test\\w+)`").FindAllStringSubmatch(string(page), -1)
	require.NotEmpty(t, names)
	for _, n := range names {
		require.True(t, strings.Contains(code.String(), "func "+n[1]+"("), "docs/RULES.md names %s, which does not exist", n[1])
	}
	cases := regexp.MustCompile(`Faults/([a-z ]+?)(?:,| \|)`).FindAllStringSubmatch(string(page), -1)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		require.True(t, strings.Contains(code.String(), `{"`+c[1]+`", `), "docs/RULES.md names the fault case %q, which does not exist", c[1])
	}
}
