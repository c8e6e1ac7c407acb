package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/pkg/share"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// reading is a report as a worker sent it; it may arrive late, twice or never.
type reading struct {
	incarnation Incarnation
	usage       Usage
	at          time.Time
}

// life is one incarnation as it truly went.
type life struct {
	Incarnation
	share string
	spent Usage
	// reported is the highest reading that reached the book.
	reported Usage
	final    bool
}

// Resent, reordered and lost readings, moves, and crashes that fall back to an
// older copy of the book leave every reported interval counted once.
func TestEachReportedIntervalIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := NewBook()
		now := start
		var lives []*life
		var sent []reading
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			action := rapid.IntRange(0, 5).Draw(t, "action")
			switch {
			case action == 0 || len(lives) == 0:
				l := &life{share: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "share")}
				l.Incarnation = Incarnation{Task: fmt.Sprint("t", len(lives)), Number: 1}
				if len(lives) > 0 && rapid.Bool().Draw(t, "moved") {
					l.Task = lives[0].Task
					l.Number = int64(len(lives) + 1)
					l.share = lives[0].share
				}
				lives = append(lives, l)
				book.Open(l.Incarnation, l.share, share.Resources{Processors: 1000}, now)
			case action <= 2:
				l := rapid.SampledFrom(lives).Draw(t, "life")
				if !l.final {
					l.spent = l.spent.Plus(Usage{
						Processor: CoreMillis(rapid.IntRange(0, 1e9).Draw(t, "processor")),
						Memory:    MiBSeconds(rapid.IntRange(0, 1e9).Draw(t, "memory")),
					})
					sent = append(sent, reading{l.Incarnation, l.spent, now})
				}
			case action == 3 && len(sent) > 0:
				r := rapid.SampledFrom(sent).Draw(t, "reading")
				deliver(book, lives, r)
			case action == 4:
				// The last reading is in before the end is committed and acknowledged.
				l := rapid.SampledFrom(lives).Draw(t, "life")
				deliver(book, lives, reading{l.Incarnation, l.spent, now})
				l.final = true
				book.Close(l.Incarnation)
			case action == 5:
				book = recovered(t, book, lives, sent, now)
			}
			requireExact(t, book, lives, now)
		}
	})
}

func deliver(book *Book, lives []*life, r reading) {
	counted := book.Record(r.incarnation, r.usage, r.at)
	for _, l := range lives {
		if l.Incarnation == r.incarnation && counted {
			l.reported = l.reported.Max(r.usage)
		}
	}
}

// recovered returns the book as a new holder has it: the stored copy, then
// some uncommitted readings are lost and sent again by their workers.
func recovered(t *rapid.T, book *Book, lives []*life, sent []reading, now time.Time) *Book {
	text, err := book.Encode()
	require.NoError(t, err)
	for _, r := range sent {
		book.Record(r.incarnation, r.usage, now)
	}
	again, err := Decode(text)
	require.NoError(t, err)
	for _, r := range sent {
		if rapid.Bool().Draw(t, "sent again") {
			deliver(again, lives, r)
		}
	}
	return again
}

func requireExact(t *rapid.T, book *Book, lives []*life, now time.Time) {
	want := map[string]Usage{}
	open := map[string]int{}
	for _, l := range lives {
		want[l.share] = want[l.share].Plus(l.reported)
		if !l.final {
			open[l.share]++
		}
	}
	for _, a := range book.Accounts(now) {
		require.Equal(t, want[a.Share], a.Usage, a.Share)
		require.Equal(t, open[a.Share], a.Open, a.Share)
		sum := Usage{}
		for _, p := range a.Periods {
			sum = sum.Plus(p.Usage)
		}
		require.Equal(t, a.Usage, sum, "periods of %s", a.Share)
		delete(want, a.Share)
	}
	for name, u := range want {
		require.Zero(t, u, name)
	}
}

// What is not yet reported stays within the stated open error.
func TestOpenErrorBoundsWhatIsMissing(t *testing.T) {
	b := NewBook()
	i := Incarnation{Task: "t", Number: 1}
	size := share.Resources{Processors: 2500, Memory: 3 << 30, Accelerators: 1}
	b.Open(i, "a", size, start)
	b.Record(i, NewUsage(20*time.Second, 30<<30, 10*time.Second), start.Add(10*time.Second))
	now := start.Add(25 * time.Second)
	a := b.Accounts(now)[0]
	require.Equal(t, start.Add(10*time.Second), a.OpenSince)
	// It kept all of its size busy since its last reading.
	spent := NewUsage(20*time.Second+15*2500*time.Millisecond, 25*3<<30, 25*time.Second)
	require.Equal(t, spent.Max(a.Usage.Plus(a.OpenAtMost)), a.Usage.Plus(a.OpenAtMost))

	b.Abandon(i, now)
	a = b.Accounts(now.Add(time.Hour))[0]
	require.Zero(t, a.Open)
	require.Equal(t, CoreMillis(37_500), a.Abandoned.Processor)
	require.False(t, b.Record(i, NewUsage(time.Hour, 0, 0), now), "a closed incarnation takes no readings")
}

func TestDecodeRefusesWhatIsNoBook(t *testing.T) {
	_, err := Decode([]byte("["))
	require.Error(t, err)
}
