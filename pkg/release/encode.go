package release

import (
	"encoding/json"
	"fmt"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// The wire types define the JSON format that Parse and ParseConfig read.
type (
	wireConfig struct {
		Revision     int64            `json:"revision,omitempty"`
		Declarations wireDeclarations `json:"declarations"`
		Origins      []wireOrigin     `json:"origins,omitempty"`
	}
	wireOrigin struct {
		Kind      string `json:"kind"`
		Name      string `json:"name"`
		Note      string `json:"note"`
		Revision  int64  `json:"revision"`
		Withdrawn bool   `json:"withdrawn,omitempty"`
	}
	wireNote struct {
		Name      string              `json:"name"`
		Added     wireDeclarations    `json:"added"`
		Changed   wireDeclarations    `json:"changed"`
		Withdrawn map[string][]string `json:"withdrawn"`
	}
	wireDeclarations struct {
		Neighbours []wireNeighbour `json:"neighbours,omitempty"`
		Shares     []wireShare     `json:"shares,omitempty"`
		Services   []wireService   `json:"services,omitempty"`
		Jobs       []wireJob       `json:"jobs,omitempty"`
		YieldRules []wireYieldRule `json:"yieldRules,omitempty"`
	}
	wireNeighbour struct {
		Name      string `json:"name"`
		TokenHash string `json:"tokenHash"`
		Region    string `json:"region"`
	}
	wireResources struct {
		Processors   float64 `json:"processors"`
		Memory       int64   `json:"memory"`
		Accelerators int64   `json:"accelerators"`
	}
	wireShare struct {
		Name      string        `json:"name"`
		Neighbour string        `json:"neighbour"`
		Quota     wireResources `json:"quota"`
		Weight    int           `json:"weight"`
	}
	wireObjective struct {
		Latency string  `json:"latency"`
		Ratio   float64 `json:"ratio"`
	}
	wireService struct {
		Name      string        `json:"name"`
		Neighbour string        `json:"neighbour"`
		Share     string        `json:"share"`
		Runner    wireResources `json:"runner"`
		Objective wireObjective `json:"objective"`
		Routes    []wireRoute   `json:"routes"`
	}
	wireRoute struct {
		Path            string `json:"path"`
		Class           string `json:"class"`
		Deadline        string `json:"deadline"`
		MaxRequest      int64  `json:"maxRequest"`
		MaxAnswer       int64  `json:"maxAnswer"`
		Retries         int    `json:"retries"`
		HedgeAfter      string `json:"hedgeAfter"`
		ProgressTimeout string `json:"progressTimeout"`
	}
	wireJob struct {
		Name        string        `json:"name"`
		Neighbour   string        `json:"neighbour"`
		Share       string        `json:"share"`
		Size        wireResources `json:"size"`
		RunTime     string        `json:"runTime"`
		Urgent      bool          `json:"urgent"`
		Checkpoints bool          `json:"checkpoints"`
		MaxStarts   int           `json:"maxStarts"`
	}
	wireYieldRule struct {
		Name             string  `json:"name"`
		Yields           string  `json:"yields"`
		To               string  `json:"to"`
		Limit            string  `json:"limit"`
		MinRunTime       string  `json:"minRunTime"`
		EvictionsPerHour int     `json:"evictionsPerHour"`
		TailWeight       float64 `json:"tailWeight"`
	}
)

// EncodeConfig returns the configuration as JSON that ParseConfig reads.
func EncodeConfig(c Config) ([]byte, error) {
	w := wireConfig{
		Revision:     c.Revision,
		Declarations: encodeDeclarations(c.Declarations),
		Origins:      encodeEach(c.Origins, encodeOrigin),
	}
	text, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", c.Revision, err)
	}
	return text, nil
}

// encodeNote returns the wire form of a note.
func encodeNote(n Note) wireNote {
	w := wireNote{
		Name:      n.Name,
		Added:     encodeDeclarations(n.Added),
		Changed:   encodeDeclarations(n.Changed),
		Withdrawn: map[string][]string{},
	}
	for _, e := range n.Withdrawn {
		list := listName(e.Kind)
		w.Withdrawn[list] = append(w.Withdrawn[list], e.Name)
	}
	return w
}

// EncodeNote returns the note as indented JSON that Parse reads.
func EncodeNote(n Note) ([]byte, error) {
	text, err := json.MarshalIndent(encodeNote(n), "", "\t")
	if err != nil {
		return nil, fmt.Errorf("encode note %q: %w", n.Name, err)
	}
	return text, nil
}

func encodeOrigin(o Origin) wireOrigin {
	return wireOrigin{Kind: string(o.Kind), Name: o.Name, Note: o.Note, Revision: o.Revision, Withdrawn: o.Withdrawn}
}

func encodeDeclarations(d Declarations) wireDeclarations {
	return wireDeclarations{
		Neighbours: encodeEach(d.Neighbours, func(n share.Neighbour) wireNeighbour {
			return wireNeighbour{Name: n.Name, TokenHash: n.TokenHash, Region: n.Region}
		}),
		Shares: encodeEach(d.Shares, func(s share.Share) wireShare {
			return wireShare{Name: s.Name, Neighbour: s.Neighbour, Quota: encodeResources(s.Quota), Weight: s.Weight}
		}),
		Services:   encodeEach(d.Services, encodeService),
		Jobs:       encodeEach(d.Jobs, encodeJob),
		YieldRules: encodeEach(d.YieldRules, encodeYieldRule),
	}
}

func encodeEach[T, W any](all []T, encode func(T) W) []W {
	wire := make([]W, len(all))
	for i, d := range all {
		wire[i] = encode(d)
	}
	return wire
}

func encodeResources(r share.Resources) wireResources {
	return wireResources{
		Processors:   float64(r.Processors) / 1000,
		Memory:       int64(r.Memory),
		Accelerators: int64(r.Accelerators),
	}
}

func encodeService(s Service) wireService {
	return wireService{
		Name:      s.Name,
		Neighbour: s.Neighbour,
		Share:     s.Share,
		Runner:    encodeResources(s.Runner),
		Objective: wireObjective{Latency: s.Objective.Latency.String(), Ratio: s.Objective.Ratio},
		Routes:    encodeEach(s.Routes, encodeRoute),
	}
}

func encodeRoute(r Route) wireRoute {
	return wireRoute{
		Path:            r.Path,
		Class:           string(r.Class),
		Deadline:        r.Deadline.String(),
		MaxRequest:      int64(r.MaxRequest),
		MaxAnswer:       int64(r.MaxAnswer),
		Retries:         r.Retries,
		HedgeAfter:      r.HedgeAfter.String(),
		ProgressTimeout: r.ProgressTimeout.String(),
	}
}

func encodeJob(j Job) wireJob {
	return wireJob{
		Name:        j.Name,
		Neighbour:   j.Neighbour,
		Share:       j.Share,
		Size:        encodeResources(j.Size),
		RunTime:     j.RunTime.String(),
		Urgent:      j.Urgent,
		Checkpoints: j.Checkpoints,
		MaxStarts:   j.MaxStarts,
	}
}

func encodeYieldRule(r share.YieldRule) wireYieldRule {
	return wireYieldRule{
		Name:             r.Name,
		Yields:           r.Yields,
		To:               r.To,
		Limit:            string(r.Limit),
		MinRunTime:       r.MinRunTime.String(),
		EvictionsPerHour: r.EvictionsPerHour,
		TailWeight:       r.TailWeight,
	}
}
