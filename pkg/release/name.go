package release

import "github.com/oriolepond/oriolepond/pkg/share"

// nameOf returns the name of a declaration of any kind.
func nameOf(d any) string {
	switch d := d.(type) {
	case share.Neighbour:
		return d.Name
	case share.Share:
		return d.Name
	case Service:
		return d.Name
	case Job:
		return d.Name
	case share.YieldRule:
		return d.Name
	}
	return ""
}
