package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/internal/settings"
)

const page = "../../docs/SETTINGS.md"

// row is one row of the table of settings: the name, and the default or "required".
type row struct {
	name, fallback string
}

var rowPattern = regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\| ([^|]+) \\|")

func rows(t *testing.T) []row {
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	var all []row
	for _, m := range rowPattern.FindAllStringSubmatch(string(text), -1) {
		all = append(all, row{m[1], strings.Trim(m[2], " `")})
	}
	require.NotEmpty(t, all)
	return all
}

// example returns the settings of the example on the page.
func example(t *testing.T) map[string]any {
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	_, afterFence, ok := strings.Cut(string(text), "```jsonc\n")
	require.True(t, ok)
	body, _, ok := strings.Cut(afterFence, "```")
	require.True(t, ok)
	_, err = settings.Parse("example", []byte(body))
	require.NoError(t, err)
	plain := regexp.MustCompile(`(?m)^\s*//.*$`).ReplaceAllString(body, "")
	var fields map[string]any
	require.NoError(t, json.Unmarshal([]byte(plain), &fields))
	return fields
}

func parse(t *testing.T, fields map[string]any) (settings.Settings, error) {
	text, err := json.Marshal(fields)
	require.NoError(t, err)
	return settings.Parse("s", text)
}

// fieldPattern matches the names of the settings that the package reads, in its source text.
var fieldPattern = regexp.MustCompile(`(?:o\.[A-Z][A-Za-z]+\(|\(o, )"([A-Za-z]+)"`)

func TestEverySettingIsDocumented(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	var read, documented []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, m := range fieldPattern.FindAllStringSubmatch(string(text), -1) {
			read = append(read, m[1])
		}
	}
	for _, r := range rows(t) {
		documented = append(documented, r.name)
	}
	slices.Sort(read)
	slices.Sort(documented)
	require.Equal(t, slices.Compact(read), documented, "docs/SETTINGS.md lists each setting once")
}

// Setting a documented default explicitly changes nothing, and leaving out a required setting is
// refused.
func TestDocumentedDefaultsMatchTheCode(t *testing.T) {
	minimal, err := parse(t, example(t))
	require.NoError(t, err)
	for _, r := range rows(t) {
		t.Run(r.name, func(t *testing.T) {
			fields := example(t)
			var value any
			switch {
			case r.fallback == "required":
				require.Contains(t, fields, r.name)
				delete(fields, r.name)
				_, err := parse(t, fields)
				require.ErrorContains(t, err, `lacks the field "`+r.name+`"`)
				return
			case fields[r.fallback] != nil:
				value = fields[r.fallback]
			case json.Unmarshal([]byte(r.fallback), &value) != nil:
				return // Described in words.
			}
			fields[r.name] = value
			got, err := parse(t, fields)
			require.NoError(t, err)
			require.Equal(t, minimal, got)
		})
	}
}

func TestInvalidSettingsAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		field string
		value any
		want  string
	}{
		{"unknown", "tll", 1, "tll: is not a known field"},
		{"host name", "listen", "localhost:80", "is not an IP address with a port"},
		{"no port", "peerListen", "127.0.0.1", "is not an IP address with a port"},
		{"zero duration", "leaseTtl", "0s", "leaseTtl: is not above zero"},
		{"negative duration", "stopTimeout", "-1s", "stopTimeout: is negative"},
		{"number for a duration", "listInterval", 5, "is not a duration"},
		{"zero number", "maxHeaderBytes", 0, "maxHeaderBytes: is not above zero"},
		{"fraction", "queuedPerTarget", 1.5, "is not a whole number"},
		{"no store", "storeUrls", []string{}, "storeUrls: must not be empty"},
		{"store scheme", "storeUrls", []string{"ftp://x"}, "is not an http or https URL"},
		{"token instead of its hash", "operatorTokenHash", "operator-token", "is not a lower-case hexadecimal SHA-256"},
		{"empty id", "id", "", "id: is empty"},
		{"too little memory", "memory", "16MiB", "memory: is below 67108864"},
		{"negative memory", "memory", "-1B", "is not a size"},
		{"too few descriptors", "descriptors", 200, "descriptors: is below 264"},
		{"negative descriptors", "descriptors", -1, "descriptors: is"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fields := example(t)
			fields[c.field] = c.value
			_, err := parse(t, fields)
			var faults *jsonc.FaultsError
			require.ErrorAs(t, err, &faults)
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestExampleSettingsNameTheirDataCentres(t *testing.T) {
	for _, e := range examples.All() {
		s, err := settings.Parse(e.Name, e.Settings)
		require.NoError(t, err)
		require.Contains(t, e.DataCentres, examples.DataCentre{Name: s.DataCentre, Region: s.Region})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id": "a", "storeUrls": ["http://x"], "listen": "127.0.0.1:1"}`))
	f.Add([]byte(`{"leaseTtl": "1e9h", "storeUrls": [[]]} // x`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("fuzz", text)
		if err == nil {
			require.NotEmpty(t, s.StoreURLs)
			require.Positive(t, s.LeaseTTL)
			require.Positive(t, s.QueuedPerTarget)
		}
	})
}
