package release

import (
	"regexp"
	"slices"

	"github.com/oriolepond/oriolepond/internal/jsonc"
)

// Parse reads a release note in JSON with comments; file is its name in errors. The error is a
// *jsonc.SyntaxError, or a *jsonc.FaultsError with every fault.
func Parse(file string, text []byte) (Note, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return Note{}, err
	}
	root := doc.Root()
	p := parser{lines: map[Entry]int{}, entries: map[declarationID]Entry{}}
	n := Note{Name: name(root, "name")}
	n.Added = p.declarations(root.Object("added"), ActionAdd)
	n.Changed = p.declarations(root.Object("changed"), ActionChange)
	n.Withdrawn = p.withdrawals(root.Object("withdrawn"))
	n.lines = p.lines
	root.Close()
	if len(n.Entries()) == 0 {
		root.Value().Faultf("holds no entry")
	}
	if err := doc.Err(); err != nil {
		return Note{}, err
	}
	return n, nil
}

// ParseConfig reads a configuration that EncodeConfig wrote; file is its name in errors.
func ParseConfig(file string, text []byte) (Config, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return Config{}, err
	}
	root := doc.Root()
	p := parser{lines: map[Entry]int{}, entries: map[declarationID]Entry{}}
	c := Config{
		Revision:     root.IntOr("revision", 0),
		Declarations: p.declarations(root.Object("declarations"), ActionAdd),
		Origins:      jsonc.Each(root, "origins", parseOrigin),
	}
	root.Close()
	if err := doc.Err(); err != nil {
		return Config{}, err
	}
	return c, nil
}

// parser records the entries of a document while it is read.
type parser struct {
	// lines are the line numbers of the entries.
	lines map[Entry]int
	// entries maps each declaration to the first entry that names it.
	entries map[declarationID]Entry
}

// addEntry records an entry and its line. A second entry for the same declaration is a fault.
func (p *parser) addEntry(e Entry, value jsonc.Value) {
	id := declarationID{e.Kind, e.Name}
	if other, duplicate := p.entries[id]; duplicate && e.Name != "" {
		value.Faultf("%s %q also stands under %s, on line %d", e.Kind, e.Name, other.Action, p.lines[other])
		return
	}
	p.entries[id] = e
	p.lines[e] = value.Line()
}

func (p *parser) declarations(o *jsonc.Object, a Action) Declarations {
	d := Declarations{
		Neighbours: parseKind(p, o, a, KindNeighbour, parseNeighbour),
		Shares:     parseKind(p, o, a, KindShare, parseShare),
		Services:   parseKind(p, o, a, KindService, parseService),
		Jobs:       parseKind(p, o, a, KindJob, parseJob),
		YieldRules: parseKind(p, o, a, KindYieldRule, parseYieldRule),
	}
	o.Close()
	return d
}

// kindLists are the kinds of declarations with the names of their lists in a document.
var kindLists = []struct {
	kind Kind
	list string
}{
	{KindNeighbour, "neighbours"},
	{KindShare, "shares"},
	{KindService, "services"},
	{KindJob, "jobs"},
	{KindYieldRule, "yieldRules"},
}

// listName returns the name of the list that holds declarations of a kind.
func listName(kind Kind) string {
	i := slices.IndexFunc(kindLists, func(k struct {
		kind Kind
		list string
	},
	) bool {
		return k.kind == kind
	})
	return kindLists[i].list
}

func parseKind[T any](p *parser, o *jsonc.Object, a Action, kind Kind, parse func(*jsonc.Object) T) []T {
	return jsonc.Each(o, listName(kind), func(e *jsonc.Object) T {
		d := parse(e)
		p.addEntry(Entry{Action: a, Kind: kind, Name: nameOf(d)}, e.Value())
		return d
	})
}

func (p *parser) withdrawals(o *jsonc.Object) []Withdrawal {
	var all []Withdrawal
	for _, k := range kindLists {
		for _, v := range o.List(k.list) {
			w := Withdrawal{Kind: k.kind, Name: checkName(v)}
			p.addEntry(Entry{Action: ActionWithdraw, Kind: w.Kind, Name: w.Name}, v)
			all = append(all, w)
		}
	}
	o.Close()
	return all
}

func parseOrigin(o *jsonc.Object) Origin {
	return Origin{
		Kind:      Kind(o.String("kind")),
		Name:      o.String("name"),
		Note:      o.String("note"),
		Revision:  o.Int("revision"),
		Withdrawn: o.BoolOr("withdrawn", false),
	}
}

// namePattern is the form of the names of notes and declarations.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// name reads a required field that holds a name.
func name(o *jsonc.Object, field string) string {
	v, ok := o.Required(field)
	if !ok {
		return ""
	}
	return checkName(v)
}

func checkName(v jsonc.Value) string {
	s, ok := v.Text()
	if ok && !namePattern.MatchString(s) {
		v.Faultf("%.80q is not a name: up to 63 letters, digits, dots, dashes and underscores", s)
	}
	return s
}
