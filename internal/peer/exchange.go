package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer/slotpb"
)

// Report is what one instance tells another.
type Report struct {
	Status membership.Status
	// Idle are the free slots by service, of the services that have slots there.
	Idle map[string]int
	// Table is the encoded grant table, or empty.
	Table []byte
}

// Slots answers the calls of the division of slots.
type Slots struct {
	// OnReport takes a report.
	OnReport func(r Report)
	// Promise answers a request for a promise with the member name of this instance.
	Promise func(member string) (by string, ok bool)
}

// RegisterSlots answers the calls of peers.
func RegisterSlots(server *grpc.Server, s *Slots) {
	slotpb.RegisterSlotsServer(server, &slotsServer{slots: s})
}

type slotsServer struct {
	slotpb.UnimplementedSlotsServer
	slots *Slots
}

// ackInterval is the shortest time between two acknowledgements of reports. It
// is shorter than the silence that a reporter bears, also with a heartbeat more.
const ackInterval = 900 * time.Millisecond

// Report takes reports until the peer ends them.
func (s *slotsServer) Report(stream grpc.BidiStreamingServer[slotpb.Status, slotpb.ReportReply]) error {
	var last Report
	var acknowledged time.Time
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		last = last.next(m)
		s.slots.OnReport(last)
		if now := time.Now(); now.Sub(acknowledged) >= ackInterval {
			acknowledged = now
			if err := stream.Send(&slotpb.ReportReply{}); err != nil {
				return err
			}
		}
	}
}

// Promise answers a request for a promise.
func (s *slotsServer) Promise(_ context.Context, q *slotpb.PromiseRequest) (*slotpb.PromiseReply, error) {
	by, ok := s.slots.Promise(q.Member)
	return &slotpb.PromiseReply{Promised: ok, Member: by}, nil
}

// AskPromise asks the peer at the other end of a connection for a promise.
func AskPromise(ctx context.Context, conn *grpc.ClientConn, member string) (by string, ok bool) {
	reply, err := slotpb.NewSlotsClient(conn).Promise(ctx, &slotpb.PromiseRequest{Member: member})
	if err != nil {
		return "", false
	}
	return reply.Member, reply.Promised
}

// Reporter sends reports to one peer.
type Reporter struct {
	// Conn returns the connection to the peer, and Drop ends it if it is silent.
	Conn func() (*grpc.ClientConn, error)
	Drop func()
	// Rate returns how often reports are sent now.
	Rate func() ReportRate
	// Next returns what to send now, and Changed a channel that is closed once
	// that has changed.
	Next    func() Report
	Changed func() <-chan struct{}
}

const (
	// reconnectDelay is the wait after a broken stream of reports.
	reconnectDelay = 200 * time.Millisecond
	// minWait is the shortest wait between two looks without a change.
	minWait = 10 * time.Millisecond
	// ackTimeout bounds the silence of a peer that was sent a report.
	ackTimeout = 2 * time.Second
)

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = r.stream(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// stream sends reports over one call until it breaks.
func (r *Reporter) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := r.Conn()
	if err != nil {
		return err
	}
	silence := time.AfterFunc(ackTimeout+r.Rate().Heartbeat, func() {
		r.Drop()
		cancel()
	})
	defer silence.Stop()
	call, err := slotpb.NewSlotsClient(conn).Report(ctx)
	if err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			if _, err := call.Recv(); err != nil {
				return
			}
			silence.Reset(ackTimeout + r.Rate().Heartbeat)
		}
	}()
	return r.send(ctx, call)
}

// send sends reports until the call breaks.
func (r *Reporter) send(ctx context.Context, call grpc.BidiStreamingClient[slotpb.Status, slotpb.ReportReply]) error {
	gate := newGate(r.Rate(), time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := r.Changed()
		last, next, now := gate.last, r.Next(), time.Now()
		if gate.pass(next, r.Rate(), now) {
			if err := call.Send(encodeChange(last, next)); err != nil {
				return err
			}
		}
		timer.Reset(gate.wait(next, r.Rate(), now))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// gate decides which reports are worth sending.
type gate struct {
	last   Report
	sent   time.Time
	tokens float64
	filled time.Time
}

func newGate(p ReportRate, now time.Time) *gate {
	return &gate{tokens: p.PerSecond, filled: now}
}

// pass reports whether a report is to be sent now, and if so notes it as sent.
func (g *gate) pass(next Report, p ReportRate, now time.Time) bool {
	g.tokens = min(max(p.PerSecond, 1), g.tokens+p.PerSecond*now.Sub(g.filled).Seconds())
	g.filled = now
	switch {
	case g.sent.IsZero(), now.Sub(g.sent) >= p.Heartbeat, !sameStatus(g.last, next):
	case idleDiffers(g.last.Idle, next.Idle) && g.tokens >= 1:
		g.tokens--
	default:
		return false
	}
	g.last, g.sent = next, now
	return true
}

// wait returns how long nothing is to be sent unless there is a change.
func (g *gate) wait(next Report, p ReportRate, now time.Time) time.Duration {
	wait := g.sent.Add(p.Heartbeat).Sub(now)
	if idleDiffers(g.last.Idle, next.Idle) {
		wait = min(wait, time.Duration((1-g.tokens)/p.PerSecond*float64(time.Second)))
	}
	return max(wait, minWait)
}

// sameStatus reports whether two reports say the same of the division.
func sameStatus(a, b Report) bool {
	x, y := a.Status, b.Status
	return x.ID == y.ID && x.Report.Epoch == y.Report.Epoch && x.Released == y.Released &&
		slices.Equal(x.Report.Over, y.Report.Over) && slices.Equal(x.Supports, y.Supports) &&
		(len(b.Table) == 0 || len(a.Table) > 0)
}

// idleDiffers reports whether free slots changed so much that a peer would act
// otherwise: from or to none, or by half.
func idleDiffers(a, b map[string]int) bool {
	if len(a) != len(b) {
		return true
	}
	for service, n := range b {
		m, ok := a[service]
		if !ok || (m == 0) != (n == 0) || 2*m < n || 2*n < m {
			return true
		}
	}
	return false
}

// Group runs one Reporter for each of a changing set of peers.
type Group struct {
	// Start runs the reporter of a peer until the context ends.
	Start func(ctx context.Context, p membership.Peer)

	mu      sync.Mutex
	ctx     context.Context
	peers   []membership.Peer
	running map[string]context.CancelFunc
	done    sync.WaitGroup
}

// Run runs reporters until the context ends.
func (g *Group) Run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	g.align()
	g.mu.Unlock()
	<-ctx.Done()
	g.done.Wait()
	return nil
}

// Set starts the reporters of new peers and ends those of former ones.
func (g *Group) Set(peers []membership.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = peers
	g.align()
}

// align brings the reporters in step with the peers; g.mu is held.
func (g *Group) align() {
	if g.ctx == nil || g.ctx.Err() != nil {
		return
	}
	if g.running == nil {
		g.running = map[string]context.CancelFunc{}
	}
	wanted := map[string]bool{}
	for _, p := range g.peers {
		key := p.ID + "@" + p.PeerAddress
		wanted[key] = true
		if _, ok := g.running[key]; ok {
			continue
		}
		each, cancel := context.WithCancel(g.ctx)
		g.running[key] = cancel
		g.done.Go(func() { g.Start(each, p) })
	}
	for key, cancel := range g.running {
		if !wanted[key] {
			cancel()
			delete(g.running, key)
		}
	}
}
