package peer

import (
	"errors"
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/peer/requestpb"
)

func encodeRequest(q entry.Request) *requestpb.Request {
	return &requestpb.Request{
		Neighbour: q.Neighbour.Name, Service: q.Service.Name, Route: q.Route.Path,
		Method: q.Method, Path: q.Path, Headers: encodeHeaders(q.Header), Body: q.Body, Key: q.Key,
		LeftMicros: time.Until(q.Deadline).Microseconds(), MayQueue: q.MayQueue,
	}
}

// encodeHeaders leaves out the header with the caller's token.
func encodeHeaders(h http.Header) []*requestpb.Header {
	encoded := make([]*requestpb.Header, 0, len(h))
	for name, values := range h {
		if name != entry.HeaderToken {
			encoded = append(encoded, &requestpb.Header{Name: name, Values: values})
		}
	}
	return encoded
}

func decodeHeaders(encoded []*requestpb.Header) http.Header {
	h := make(http.Header, len(encoded))
	for _, header := range encoded {
		h[header.Name] = header.Values
	}
	return h
}

// encodeOutcome returns the outcome of a failed request. The outcome is unknown if the
// error does not state one.
func encodeOutcome(err error) *requestpb.Outcome {
	var o *entry.OutcomeError
	if !errors.As(err, &o) {
		return &requestpb.Outcome{
			Outcome: string(entry.Unknown), Status: http.StatusBadGateway,
			Reason: err.Error(), Cause: string(entry.CauseTarget),
		}
	}
	return &requestpb.Outcome{
		Outcome: string(o.Outcome), Status: int32(o.Status), Reason: o.Reason,
		RetryAfterMicros: o.RetryAfter.Microseconds(), Cause: string(o.Cause), Slowed: o.Slowed,
	}
}

// decodeOutcome returns the outcome that a peer sent. An outcome that this version does
// not know is treated as unknown: the request may have run.
func decodeOutcome(o *requestpb.Outcome) *entry.OutcomeError {
	outcome := entry.Unknown
	if o.Outcome == string(entry.NotRun) {
		outcome = entry.NotRun
	}
	return &entry.OutcomeError{
		Outcome: outcome, Status: int(o.Status), Reason: o.Reason,
		RetryAfter: time.Duration(o.RetryAfterMicros) * time.Microsecond, Cause: entry.Cause(o.Cause), Slowed: o.Slowed,
	}
}

func encodeKey(k entry.Key) *requestpb.Key {
	return &requestpb.Key{Neighbour: k.Neighbour, Service: k.Service, Region: k.Region, Value: k.Value}
}

func decodeKey(k *requestpb.Key) entry.Key {
	return entry.Key{Neighbour: k.GetNeighbour(), Service: k.GetService(), Region: k.GetRegion(), Value: k.GetValue()}
}
