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

// Report is what an instance reports to a peer.
type Report struct {
	Status membership.Status
	// Idle is the number of free slots by service. Services without slots at the instance
	// are left out.
	Idle map[string]int
	// Table is the encoded grant table, or empty.
	Table []byte
}

// Slots handles the calls by which entry instances divide slots among them.
type Slots struct {
	// OnReport handles a report from a peer.
	OnReport func(r Report)
	// Promise handles a member's request not to support a takeover of it for
	// membership.PromiseTime. It returns the member name of this instance and whether the
	// promise is given.
	Promise func(member string) (by string, ok bool)
}

// RegisterSlots registers the handlers of peers' calls about slots.
func RegisterSlots(server *grpc.Server, s *Slots) {
	slotpb.RegisterSlotsServer(server, &slotsServer{slots: s})
}

type slotsServer struct {
	slotpb.UnimplementedSlotsServer
	slots *Slots
}

// ackInterval is the shortest time between two acknowledgements of reports. An
// acknowledgement is sent on receipt of a report, so it can take up to a heartbeat
// longer. The sum must stay below the reporter's timeout, which is ackTimeout plus a
// heartbeat.
const ackInterval = 900 * time.Millisecond

// Report receives reports until the peer ends the stream.
func (s *slotsServer) Report(stream grpc.BidiStreamingServer[slotpb.Status, slotpb.ReportReply]) error {
	var last Report
	var acknowledged time.Time
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		last = last.apply(m)
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
	// Conn returns the connection to the peer. Drop closes it after the peer has become
	// unresponsive.
	Conn func() (*grpc.ClientConn, error)
	Drop func()
	// Rate returns how often reports may be sent now.
	Rate func() ReportRate
	// Next returns the report to send now. Changed returns a channel that is closed once
	// there is something new to report.
	Next    func() Report
	Changed func() <-chan struct{}
}

const (
	// reconnectDelay is the delay after a stream of reports has broken.
	reconnectDelay = 200 * time.Millisecond
	// minReportWait is the shortest time between two checks of whether a report is due, as
	// long as nothing changes.
	minReportWait = 10 * time.Millisecond
	// ackTimeout, plus a heartbeat, bounds the time that a peer may take to acknowledge a
	// report.
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

// stream sends reports over one call until the call breaks.
func (r *Reporter) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := r.Conn()
	if err != nil {
		return err
	}
	ackTimer := time.AfterFunc(ackTimeout+r.Rate().Heartbeat, func() {
		r.Drop()
		cancel()
	})
	defer ackTimer.Stop()
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
			ackTimer.Reset(ackTimeout + r.Rate().Heartbeat)
		}
	}()
	return r.send(ctx, call)
}

// send sends reports over a call until the call breaks.
func (r *Reporter) send(ctx context.Context, call grpc.BidiStreamingClient[slotpb.Status, slotpb.ReportReply]) error {
	limiter := newReportLimiter(r.Rate(), time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := r.Changed()
		last, next, now := limiter.last, r.Next(), time.Now()
		if limiter.allow(next, r.Rate(), now) {
			if err := call.Send(encodeChange(last, next)); err != nil {
				return err
			}
		}
		timer.Reset(limiter.wait(next, r.Rate(), now))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// reportLimiter decides which reports are sent. Changes of the status are always sent;
// reports that only change free slots are limited by a token bucket.
type reportLimiter struct {
	last       Report
	lastSent   time.Time
	tokens     float64
	lastRefill time.Time
}

func newReportLimiter(rate ReportRate, now time.Time) *reportLimiter {
	return &reportLimiter{tokens: rate.IdleChangesPerSecond, lastRefill: now}
}

// allow reports whether a report is to be sent now. If so, it records the report as sent.
func (l *reportLimiter) allow(next Report, rate ReportRate, now time.Time) bool {
	l.tokens = min(max(rate.IdleChangesPerSecond, 1), l.tokens+rate.IdleChangesPerSecond*now.Sub(l.lastRefill).Seconds())
	l.lastRefill = now
	switch {
	case l.lastSent.IsZero(), now.Sub(l.lastSent) >= rate.Heartbeat, !sameStatus(l.last, next):
	case idleDiffers(l.last.Idle, next.Idle) && l.tokens >= 1:
		l.tokens--
	default:
		return false
	}
	l.last, l.lastSent = next, now
	return true
}

// wait returns the time until the next report has to be sent if nothing changes before.
func (l *reportLimiter) wait(next Report, rate ReportRate, now time.Time) time.Duration {
	wait := l.lastSent.Add(rate.Heartbeat).Sub(now)
	if idleDiffers(l.last.Idle, next.Idle) {
		wait = min(wait, time.Duration((1-l.tokens)/rate.IdleChangesPerSecond*float64(time.Second)))
	}
	return max(wait, minReportWait)
}

// sameStatus reports whether two reports have the same status, whatever their free slots.
// A table in b counts as a difference if a has none.
func sameStatus(a, b Report) bool {
	x, y := a.Status, b.Status
	return x.ID == y.ID && x.Report.Epoch == y.Report.Epoch && x.Released == y.Released &&
		slices.Equal(x.Report.Over, y.Report.Over) && slices.Equal(x.Supports, y.Supports) &&
		(len(b.Table) == 0 || len(a.Table) > 0)
}

// idleDiffers reports whether free slots changed so much that a peer would act
// differently: from or to zero, or by half.
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

// Group runs one task, such as a Reporter, for each peer of a changing set.
type Group struct {
	// Start runs the task of a peer until the context ends.
	Start func(ctx context.Context, p membership.Peer)

	mu      sync.Mutex
	ctx     context.Context
	peers   []membership.Peer
	running map[string]context.CancelFunc
	done    sync.WaitGroup
}

// Run runs the tasks of all peers until the context ends.
func (g *Group) Run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	g.reconcile()
	g.mu.Unlock()
	<-ctx.Done()
	g.done.Wait()
	return nil
}

// Set starts the tasks of new peers and stops those of peers that are not in the set any
// more.
func (g *Group) Set(peers []membership.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = peers
	g.reconcile()
}

// reconcile starts and stops tasks to match the set of peers; g.mu must be held.
func (g *Group) reconcile() {
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
		taskCtx, cancel := context.WithCancel(g.ctx)
		g.running[key] = cancel
		g.done.Go(func() { g.Start(taskCtx, p) })
	}
	for key, cancel := range g.running {
		if !wanted[key] {
			cancel()
			delete(g.running, key)
		}
	}
}
