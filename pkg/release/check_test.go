package release_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// firstNote declares two neighbours with a share each, a service, a job and a yield rule.
const firstNote = `{"name": "first", "added": {
	"neighbours": [
		{"name": "floor", "tokenHash": "` + hashA + `", "region": "r"},
		{"name": "quality", "tokenHash": "` + hashB + `", "region": "r"}
	],
	"shares": [
		{"name": "finishing", "neighbour": "floor", "quota": {"processors": 8}},
		{"name": "reviews", "neighbour": "quality", "quota": {"processors": 8}}
	],
	"services": [{"name": "finish", "neighbour": "floor", "share": "finishing", "runner": {"processors": 2}, "routes": [{"path": "/gloss"}]}],
	"jobs": [{"name": "review", "neighbour": "quality", "share": "reviews", "size": {"processors": 4}}],
	"yieldRules": [{"name": "rule", "yields": "reviews", "to": "finishing"}]
}}`

func parse(t *testing.T, text string) release.Note {
	t.Helper()
	n, err := release.Parse("note", []byte(text))
	require.NoError(t, err)
	return n
}

// apply applies a note that must not be refused.
func apply(t *testing.T, c release.Config, text string) release.Config {
	t.Helper()
	next, report := release.Apply(c, parse(t, text))
	require.False(t, report.Refused(), "%+v", report)
	return next
}

func TestInvalidNotesAreRefused(t *testing.T) {
	cases := []struct {
		name, replace, with, want string
	}{
		{"hash", hashA, "AA", "note:3: added.neighbours[floor].tokenHash: is not a lower-case hexadecimal SHA-256 (64 digits)"},
		{"zero quota", `"quota": {"processors": 8}},`, `"quota": {"processors": 0}},`, "added.shares[finishing].quota: is zero in everything"},
		{"negative", `"size": {"processors": 4}`, `"size": {"processors": -4}`, "added.jobs[review].size.processors: is -4, not between 0 and 1e+06"},
		{"huge", `"size": {"processors": 4}`, `"size": {"processors": 1e300}`, "added.jobs[review].size.processors: is 1e+300, not between 0 and 1e+06"},
		{"huge memory", `"size": {"processors": 4}`, `"size": {"memory": "2000TiB"}`, "not between 0 and 1125899906842624"},
		{"no size", `"size": {"processors": 4}`, `"size": {}`, "size: is zero in everything"},
		{"weight", `"quota": {"processors": 8}},`, `"quota": {"processors": 8}, "weight": 0},`, "weight: is 0, not between 1 and 1000"},
		{"name", `"name": "review"`, `"name": "re view"`, `"re view" is not a name`},
		{"twice", `"name": "quality", "t`, `"name": "floor", "t`, `neighbour "floor" also stands under added, on line 3`},
		{"no routes", `[{"path": "/gloss"}]`, `[]`, "routes: a service needs at least one route"},
		{"deadline", `{"path": "/gloss"}`, `{"path": "/gloss", "deadline": "11m"}`, "deadline: is 11m0s, not between 1ms and 10m0s"},
		{"zero deadline", `{"path": "/gloss"}`, `{"path": "/gloss", "deadline": "0s"}`, "deadline: is 0s, not between 1ms and 10m0s"},
		{"hedge", `{"path": "/gloss"}`, `{"path": "/gloss", "deadline": "1s", "hedgeAfter": "1s"}`, "hedgeAfter: is not below the deadline of 1s"},
		{"hedge class", `{"path": "/gloss"}`, `{"path": "/gloss", "class": "stream", "hedgeAfter": "1s"}`, "only idempotent requests may be sent twice"},
		{"class", `{"path": "/gloss"}`, `{"path": "/gloss", "class": "safe"}`, `class: "safe" is not one of`},
		{"same path", `{"path": "/gloss"}`, `{"path": "/gloss"}, {"path": "/gloss"}`, `path "/gloss" overlaps with "/gloss"`},
		{"path within a segment", `{"path": "/gloss"}`, `{"path": "/gloss"}, {"path": "/glossary"}`, `path "/glossary" overlaps with "/gloss"`},
		{"path form", `{"path": "/gloss"}`, `{"path": "/a/../b"}`, "is not plain"},
		{"ratio", `"runner"`, `"objective": {"ratio": 1}, "runner"`, "ratio: is not between 0 and 1"},
		{"unknown field", `"runner"`, `"runners": 3, "runner"`, "runners: is not a known field"},
		{"yields to itself", `"to": "finishing"`, `"to": "reviews"`, "to: a share cannot yield to itself"},
		{"tail weight", `"to": "finishing"`, `"to": "finishing", "tailWeight": 1.5`, "tailWeight: is 1.5, not between 0 and 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(firstNote, c.replace, c.with, 1)
			require.NotEqual(t, firstNote, text)
			_, err := release.Parse("note", []byte(text))
			var faults *jsonc.FaultsError
			require.ErrorAs(t, err, &faults)
			require.Contains(t, err.Error(), c.want)
		})
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	text := strings.NewReplacer(hashA, "x", `"quota": {"processors": 8}`, `"quota": {}`, `"/gloss"`, `"gloss"`).Replace(firstNote)
	_, err := release.Parse("note", []byte(text))
	var faults *jsonc.FaultsError
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.Faults, 4, "%v", err)
}

func TestNestedPathsDoNotOverlap(t *testing.T) {
	parse(t, strings.Replace(firstNote, `{"path": "/gloss"}`, `{"path": "/"}, {"path": "/gloss"}, {"path": "/gloss/check"}`, 1))
}

// Each note is checked against, and applied to, the configuration of firstNote.
func TestNotesThatDoNotFitTheConfigurationAreRefused(t *testing.T) {
	cases := []struct {
		name, note, want string
	}{
		{"added twice", `"added": {"shares": [{"name": "reviews", "neighbour": "quality", "quota": {"processors": 1}}]}`, `added share "reviews": share "reviews" is already declared`},
		{"unknown changed", `"changed": {"shares": [{"name": "x", "neighbour": "quality", "quota": {"processors": 1}}]}`, `changed share "x": share "x" is not declared`},
		{"unknown withdrawn", `"withdrawn": {"jobs": ["x"]}`, `withdrawn job "x": job "x" is not declared`},
		{"share of unknown neighbour", `"added": {"shares": [{"name": "x", "neighbour": "y", "quota": {"processors": 1}}]}`, `added share "x": neighbour "y" is not declared`},
		{"service in unknown share", `"added": {"services": [{"name": "x", "neighbour": "floor", "share": "y", "runner": {"processors": 1}, "routes": [{"path": "/"}]}]}`, `added service "x": share "y" is not declared`},
		{"job of another's share", `"added": {"jobs": [{"name": "x", "neighbour": "floor", "share": "reviews", "size": {"processors": 1}}]}`, `share "reviews" belongs to neighbour "quality", not to "floor"`},
		{"job above its quota", `"added": {"jobs": [{"name": "x", "neighbour": "quality", "share": "reviews", "size": {"processors": 9}}]}`, `exceeds the quota of share "reviews"`},
		{"quota below a job", `"changed": {"shares": [{"name": "reviews", "neighbour": "quality", "quota": {"processors": 3}}]}`, `changed share "reviews": job "review" uses it: one task`},
		{"same token", `"added": {"neighbours": [{"name": "z", "tokenHash": "` + hashA + `", "region": "r"}]}`, `added neighbour "z": has the same token hash as neighbour "floor"`},
		{"rule for unknown share", `"added": {"yieldRules": [{"name": "x", "yields": "y", "to": "reviews"}]}`, `added yieldRule "x": share "y" is not declared`},
		{"cycle of yield rules", `"added": {"yieldRules": [{"name": "x", "yields": "finishing", "to": "reviews"}]}`, `shares would yield in a circle: finishing to reviews to finishing`},
		{"sum of quotas", `"added": {"shares": [` + strings.Repeat(`{"name": "s#", "neighbour": "floor", "quota": {"processors": 1000000}},`, 11) + `]}`, `the sum of all quotas is above`},
		{"neighbour in use", `"withdrawn": {"neighbours": ["quality"]}`, `withdrawn neighbour "quality": share "reviews" uses it`},
		{"share in use", `"withdrawn": {"shares": ["reviews"]}`, `withdrawn share "reviews": job "review" uses it`},
		{"share in use by a rule", `"withdrawn": {"shares": ["reviews"], "jobs": ["review"]}`, `withdrawn share "reviews": yieldRule "rule" uses it`},
	}
	base := apply(t, release.Config{}, firstNote)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := parse(t, makeNamesDistinct("{\n\"name\": \"next\",\n"+c.note+"}"))
			err := release.Check("next.jsonc", base, n)
			require.ErrorContains(t, err, c.want)
			require.Contains(t, err.Error(), "next.jsonc:3: ")
			next, report := release.Apply(base, n)
			require.True(t, report.Refused())
			require.Equal(t, base, next)
			for _, e := range report.Entries {
				require.Equal(t, release.Refused, e.Outcome, "every entry of a refused note is refused")
				require.NotEmpty(t, e.Reason)
			}
		})
	}
}

// makeNamesDistinct replaces each # by a different letter, and removes a trailing comma from the list.
func makeNamesDistinct(text string) string {
	for i := 0; strings.Contains(text, "#"); i++ {
		text = strings.Replace(text, "#", string(rune('a'+i)), 1)
	}
	return strings.Replace(text, ",]", "]", 1)
}

func TestRelatedDeclarationsAreWithdrawnTogether(t *testing.T) {
	c := apply(t, release.Config{}, firstNote)
	c = apply(t, c, `{"name": "next", "withdrawn": {"neighbours": ["quality"], "shares": ["reviews"], "jobs": ["review"], "yieldRules": ["rule"]}}`)
	require.Len(t, c.Neighbours, 1)
	_, report := release.Apply(c, parse(t, `{"name": "late", "withdrawn": {"jobs": ["review"]}}`))
	require.Equal(t, `job "review" was withdrawn by note "next"`, report.Entries[0].Reason)
}

func TestDigestIgnoresComments(t *testing.T) {
	digest := func(text string) string {
		d, err := parse(t, text).Digest()
		require.NoError(t, err)
		return d
	}
	same := firstNote + "\n// A comment.\n"
	require.Equal(t, digest(firstNote), digest(same))
	require.NotEqual(t, digest(firstNote), digest(strings.Replace(firstNote, `"processors": 4`, `"processors": 5`, 1)))
}

func TestConflictsNameTheOtherNote(t *testing.T) {
	base := apply(t, release.Config{}, firstNote)
	c := apply(t, base, `{"name": "a", "changed": {"shares": [{"name": "reviews", "neighbour": "quality", "quota": {"processors": 9}}]}}`)
	same := parse(t, `{"name": "b", "changed": {"shares": [{"name": "reviews", "neighbour": "quality", "quota": {"processors": 7}}]}}`)
	other := parse(t, `{"name": "b", "changed": {"shares": [{"name": "finishing", "neighbour": "floor", "quota": {"processors": 7}}]}}`)
	require.Empty(t, release.Conflicts(c, other, base.Revision))
	require.Equal(t, []release.Conflict{{
		Entry: release.Entry{Action: release.ActionChange, Kind: release.KindShare, Name: "reviews"},
		Other: "a", Revision: 2,
	}}, release.Conflicts(c, same, base.Revision))
	require.Empty(t, release.Conflicts(c, same, c.Revision))
}

func TestRecordReportsOutcomeOfEntries(t *testing.T) {
	c := apply(t, release.Config{}, firstNote)
	r := release.Record{Note: "first", Revision: 1, Entries: parse(t, firstNote).Entries()}
	c = apply(t, c, `{"name": "a", "changed": {"shares": [{"name": "reviews", "neighbour": "quality", "quota": {"processors": 9}}]}, "withdrawn": {"yieldRules": ["rule"]}}`)
	got := map[string]release.Outcome{}
	for _, e := range r.Report(c, []string{"entry-2"}).Entries {
		got[e.Name] = e.Outcome
		if e.Outcome == release.Superseded {
			require.Equal(t, `by note "a", revision 2`, e.Reason)
		} else {
			require.Equal(t, []string{"entry-2"}, e.PendingOn)
		}
	}
	require.Equal(t, map[string]release.Outcome{
		"floor": release.Pending, "quality": release.Pending, "finishing": release.Pending, "reviews": release.Superseded,
		"finish": release.Pending, "review": release.Pending, "rule": release.Superseded,
	}, got)
}

func TestOriginsOfWithdrawnDeclarationsExpire(t *testing.T) {
	c := apply(t, release.Config{}, firstNote)
	c = apply(t, c, `{"name": "w", "withdrawn": {"yieldRules": ["rule"]}}`)
	c.Revision += release.WithdrawnOriginRetention
	c = apply(t, c, `{"name": "x", "withdrawn": {"jobs": ["review"]}}`)
	_, remembered := c.Origin(release.KindYieldRule, "rule")
	require.False(t, remembered)
	_, remembered = c.Origin(release.KindJob, "review")
	require.True(t, remembered)
}

func TestDiffListsChangedFields(t *testing.T) {
	base := apply(t, release.Config{}, firstNote)
	c := apply(t, base, `{"name": "a", "changed": {"shares": [{"name": "reviews", "neighbour": "quality", "quota": {"processors": 9}}]}, "withdrawn": {"yieldRules": ["rule"]}}`)
	all, err := release.Diff(base, c)
	require.NoError(t, err)
	require.Len(t, all, 2)
	require.Equal(t, []release.FieldChange{{Path: "quota.processors", Before: "8", After: "9"}}, all[0].Fields)
	require.Equal(t, release.ActionWithdraw, all[1].Entry.Action)
}
