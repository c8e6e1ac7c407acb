package release

import (
	"encoding/json"
	"fmt"
	"sort"
)

// FieldChange is one field that differs between two configurations; a field that is missing has the
// value "".
type FieldChange struct {
	Path          string
	Before, After string
}

// Difference is one declaration that differs between two configurations.
type Difference struct {
	Entry  Entry
	Fields []FieldChange
}

// Diff returns the declarations that differ between two configurations, sorted by kind and name.
func Diff(before, after Config) ([]Difference, error) {
	oldFields, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newFields, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for _, k := range kindLists {
		for _, name := range sortedKeys(oldFields[k.list], newFields[k.list]) {
			if d, differs := difference(k.kind, name, oldFields[k.list][name], newFields[k.list][name]); differs {
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
	for _, path := range sortedKeys(before, after) {
		if before[path] != after[path] {
			d.Fields = append(d.Fields, FieldChange{Path: path, Before: before[path], After: after[path]})
		}
	}
	return d, len(d.Fields) > 0
}

// sortedKeys returns the keys of both maps, sorted and without duplicates.
func sortedKeys[V any](a, b map[string]V) []string {
	var all []string
	for name := range a {
		all = append(all, name)
	}
	for name := range b {
		if _, inBoth := a[name]; !inBoth {
			all = append(all, name)
		}
	}
	sort.Strings(all)
	return all
}

// flatten returns the fields of all declarations as text, by list, declaration name and field path.
func flatten(c Config) (map[string]map[string]map[string]string, error) {
	text, err := json.Marshal(encodeDeclarations(c.Declarations))
	if err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", c.Revision, err)
	}
	var lists map[string][]map[string]any
	if err := json.Unmarshal(text, &lists); err != nil {
		return nil, fmt.Errorf("flatten configuration %d: %w", c.Revision, err)
	}
	byList := map[string]map[string]map[string]string{}
	for list, declarations := range lists {
		byList[list] = map[string]map[string]string{}
		for _, d := range declarations {
			fields := map[string]string{}
			flattenInto(fields, "", d)
			byList[list][fmt.Sprint(d["name"])] = fields
		}
	}
	return byList, nil
}

func flattenInto(fields map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flattenInto(fields, joinPath(path, name), inner)
		}
	case []any:
		for i, inner := range v {
			flattenInto(fields, fmt.Sprintf("%s[%s]", path, elementKey(inner, i)), inner)
		}
	default:
		fields[path] = fmt.Sprint(v)
	}
}

// elementKey returns the key of a list element in a field path: the path of a route, or the
// position of any other element.
func elementKey(value any, i int) string {
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
