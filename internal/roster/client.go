package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// readTimeout bounds one read of the list.
	readTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list.
	maxListBytes = 16 << 20
)

// Client reads the platform's instance list.
type Client struct {
	// Read returns the current list.
	Read func(ctx context.Context) (List, error)
}

// NewClient returns a client that reads the list from a URL over HTTP. If the platform
// supports conditional requests, it does not send an unchanged list again. The client is
// not safe for concurrent use.
func NewClient(url string, h *http.Client) *Client {
	r := &reader{url: url, http: h}
	return &Client{Read: r.read}
}

// reader keeps the last list, which it returns again if the platform reports that the
// list is unchanged.
type reader struct {
	url  string
	http *http.Client
	etag string
	// digest is the hash of the last body. A body with the same hash counts as unchanged,
	// for platforms without conditional requests.
	digest        uint64
	version       uint64
	lastInstances []Instance
}

func (r *reader) read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, err := r.fetch(ctx)
	if err != nil {
		return List{}, fmt.Errorf("read instance list: %w", err)
	}
	return List{Instances: instances, ReadAt: time.Now(), Version: r.version}, nil
}

// fetch returns the instances on the list, which are those of the last read if the list
// is unchanged.
func (r *reader) fetch(ctx context.Context) ([]Instance, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, err
	}
	if r.etag != "" {
		q.Header.Set("If-None-Match", r.etag)
	}
	answer, err := r.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return r.lastInstances, nil
	default:
		return nil, fmt.Errorf("status %d", answer.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	digest := xxhash.Sum64(text)
	if r.version > 0 && digest == r.digest {
		r.etag = answer.Header.Get("ETag")
		return r.lastInstances, nil
	}
	instances, err := Decode(text)
	if err != nil {
		return nil, err
	}
	r.etag, r.digest, r.lastInstances = answer.Header.Get("ETag"), digest, instances
	r.version++
	return instances, nil
}

type (
	wireInstance struct {
		ID           string `json:"id"`
		Kind         string `json:"kind"`
		State        string `json:"state"`
		Address      string `json:"address"`
		PeerAddress  string `json:"peerAddress,omitempty"`
		Region       string `json:"region"`
		DataCentre   string `json:"dataCentre"`
		Rack         string `json:"rack,omitempty"`
		Service      string `json:"service,omitempty"`
		Worker       string `json:"worker,omitempty"`
		Slots        int    `json:"slots,omitempty"`
		Connections  int    `json:"connections,omitempty"`
		MilliCores   int64  `json:"milliCores,omitempty"`
		Memory       int64  `json:"memory,omitempty"`
		Accelerators int64  `json:"accelerators,omitempty"`
	}
	wireList struct {
		Instances []wireInstance `json:"instances"`
	}
)

// Encode returns the list as the body of a response.
func Encode(instances []Instance) ([]byte, error) {
	w := wireList{Instances: []wireInstance{}}
	for _, i := range instances {
		w.Instances = append(w.Instances, wireInstance{
			ID:           i.ID,
			Kind:         string(i.Kind),
			State:        string(i.State),
			Address:      i.Address,
			PeerAddress:  i.PeerAddress,
			Region:       i.Region,
			DataCentre:   i.DataCentre,
			Rack:         i.Rack,
			Service:      i.Service,
			Worker:       i.Worker,
			Slots:        i.Slots,
			Connections:  i.Connections,
			MilliCores:   int64(i.Capacity.Processors),
			Memory:       int64(i.Capacity.Memory),
			Accelerators: int64(i.Capacity.Accelerators),
		})
	}
	return json.Marshal(w)
}

// Decode parses the body of a response.
func Decode(text []byte) ([]Instance, error) {
	var w wireList
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode instance list: %w", err)
	}
	instances := make([]Instance, len(w.Instances))
	for n, i := range w.Instances {
		instances[n] = Instance{
			ID:          i.ID,
			Kind:        Kind(i.Kind),
			State:       State(i.State),
			Address:     i.Address,
			PeerAddress: i.PeerAddress,
			Region:      i.Region,
			DataCentre:  i.DataCentre,
			Rack:        i.Rack,
			Service:     i.Service,
			Worker:      i.Worker,
			Slots:       i.Slots,
			Connections: i.Connections,
			Capacity: share.Resources{
				Processors:   share.MilliCores(i.MilliCores),
				Memory:       share.Bytes(i.Memory),
				Accelerators: share.Accelerators(i.Accelerators),
			},
		}
	}
	return instances, nil
}
