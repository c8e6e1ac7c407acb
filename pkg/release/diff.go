package release

import (
	"encoding/json"
	"fmt"
	"sort"
)

// FieldChange is one field that differs; a missing field reads as "".
type FieldChange struct {
	Path          string
	Before, After string
}

// Difference is what a note would do to one declaration.
type Difference struct {
	Entry  Entry
	Fields []FieldChange
}

// Diff returns how one configuration differs from an earlier one, in order of kinds and names.
func Diff(before, after Config) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for _, k := range kindLists {
		for _, name := range names(old[k.list], next[k.list]) {
			if d, differs := difference(k.kind, name, old[k.list][name], next[k.list][name]); differs {
				all = append(all, d)
			}
		}
	}
	return all, nil
}

func difference(kind Kind, name string, before, after map[string]string) (Difference, bool) {
	d := Difference{Entry: Entry{Action: ActionChange, Kind: kind, Name: name}}
	switch {
	case before == nil:
		d.Entry.Action = ActionAdd
	case after == nil:
		d.Entry.Action = ActionWithdraw
	}
	for _, path := range names(before, after) {
		if before[path] != after[path] {
			d.Fields = append(d.Fields, FieldChange{Path: path, Before: before[path], After: after[path]})
		}
	}
	return d, len(d.Fields) > 0
}

// names returns the keys of two maps in order.
func names[V any](a, b map[string]V) []string {
	var all []string
	for name := range a {
		all = append(all, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			all = append(all, name)
		}
	}
	sort.Strings(all)
	return all
}

// flatten returns the fields of all declarations by list, name and path.
func flatten(c Config) (map[string]map[string]map[string]string, error) {
	text, err := json.Marshal(encodeDeclarations(c.Declarations))
	if err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", c.Revision, err)
	}
	var lists map[string][]map[string]any
	if err := json.Unmarshal(text, &lists); err != nil {
		return nil, fmt.Errorf("flatten configuration %d: %w", c.Revision, err)
	}
	all := map[string]map[string]map[string]string{}
	for list, declarations := range lists {
		all[list] = map[string]map[string]string{}
		for _, d := range declarations {
			fields := map[string]string{}
			flattenInto(fields, "", d)
			all[list][fmt.Sprint(d["name"])] = fields
		}
	}
	return all, nil
}

func flattenInto(fields map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flattenInto(fields, joinPath(path, name), inner)
		}
	case []any:
		for i, inner := range v {
			flattenInto(fields, fmt.Sprintf("%s[%s]", path, elementOf(inner, i)), inner)
		}
	default:
		fields[path] = fmt.Sprint(v)
	}
}

// elementOf returns the path of a route, or the position of another element.
func elementOf(value any, i int) string {
	if m, ok := value.(map[string]any); ok {
		if p, ok := m["path"].(string); ok {
			return p
		}
	}
	return fmt.Sprint(i)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
