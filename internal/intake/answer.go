package intake

import (
	"context"
	"errors"
	"io"
	"time"
)

// ReadAnswer reads the body of an answer to a call of the process, as Lease.Read does with a lease of its
// own. The budget calls end if it closes the call's connection. A nil Budget has no limit.
func (b *Budget) ReadAnswer(ctx context.Context, body io.Reader, declared int64, end func()) ([]byte, error) {
	if b == nil {
		return (*Lease)(nil).Read(ctx, body, declared)
	}
	l, err := b.Open(end)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	if err := l.Enter(Body); err != nil {
		return nil, err
	}
	return l.Read(ctx, body, declared)
}

// Await takes bytes like Take, but waits for them until the context is done. A request that holds bytes while
// it waits may be closed, as others without progress are, so that the rest goes on.
func (l *Lease) Await(ctx context.Context, bytes int64) error {
	for l != nil {
		room, err := l.tryTake(bytes)
		if room == nil {
			return err
		}
		select {
		case <-room:
		case <-ctx.Done():
			l.budget.refuse()
			return err
		case <-time.After(stallTime):
			// Others may have stalled meanwhile.
		}
	}
	return nil
}

// tryTake takes bytes. If some are missing that others hold, it returns a channel that is closed when bytes are
// given back.
func (l *Lease) tryTake(bytes int64) (room <-chan struct{}, err error) {
	b := l.budget
	b.mu.Lock()
	victims, err := l.take(bytes)
	if full := (*FullError)(nil); errors.As(err, &full) && l.charged()+full.Wanted <= b.Limits.Bytes {
		if b.room == nil {
			b.room = make(chan struct{})
		}
		room = b.room
	}
	b.mu.Unlock()
	b.end(victims)
	return room, err
}
