// Package settings reads the settings of one entry instance, a process that serves callers and
// operators, from a file in JSON with comments. An invalid file is refused with all faults and their
// lines.
//
// # Usage
//
//	s, err := settings.Load("oriolepond.jsonc")
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/jsonc"
)

// Defaults of settings that a file leaves out.
const (
	DefaultLeaseTTL        = 10 * time.Second
	DefaultListInterval    = time.Second
	DefaultListLag         = 5 * time.Second
	DefaultPeerInterval    = 50 * time.Millisecond
	DefaultWorkerInterval  = time.Second
	DefaultQuietInterval   = 3 * time.Second
	DefaultAccountInterval = 30 * time.Second
	DefaultAccountPeriod   = time.Hour
	DefaultBurnInterval    = time.Minute
	DefaultStopDelay       = 2 * time.Second
	DefaultStopTimeout     = 12 * time.Hour
	DefaultLinkBitsPerSec  = 30_000_000
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultQueuedPerTarget = 16
	DefaultMemory          = 1 << 30
	DefaultDescriptors     = 65_536
)

// Settings are the settings of one entry instance.
type Settings struct {
	// ID identifies one start of an instance; a restart gets a new one.
	ID         string
	Region     string
	DataCentre string
	// Listen is the address on which the instance serves callers, PeerListen the one for its peers,
	// and AdminListen the one for operators and health probes.
	Listen      string
	PeerListen  string
	AdminListen string
	// Advertise and PeerAdvertise are the addresses at which callers and peers reach the instance;
	// by default they are Listen and PeerListen.
	Advertise     string
	PeerAdvertise string
	// BindAddress is the local IP address of outgoing connections; if it is empty, the operating
	// system chooses.
	BindAddress string
	// StoreURLs are the URLs of the store. ListURL is the URL of the platform's list of instances.
	StoreURLs []string
	ListURL   string
	// OperatorTokenHash is the lower-case hexadecimal SHA-256 of the operators' token.
	OperatorTokenHash string
	// LeaseTTL is the time to live of the instance's leases in the store.
	LeaseTTL time.Duration
	// ListInterval is the time between two reads of the instance list.
	ListInterval time.Duration
	// PeerInterval is the time between two checks for changes to report to peers.
	PeerInterval time.Duration
	// ListLag is the longest time by which the instance list may be out of date.
	ListLag time.Duration
	// WorkerInterval is the time between two calls to a worker while something about it is pending.
	// QuietWorkerInterval is the longest time between two calls otherwise.
	WorkerInterval      time.Duration
	QuietWorkerInterval time.Duration
	// AccountInterval is the time between two writes of counted requests and link bytes to the
	// store.
	AccountInterval time.Duration
	// AccountPeriod is the length of an accounting period.
	AccountPeriod time.Duration
	// BurnInterval is the time between two writes to the store of the counts from which the burn
	// rates of error budgets are computed.
	BurnInterval time.Duration
	// StopDelay is how long a stopping instance keeps serving, so that the load balancer can notice
	// the planned stop.
	StopDelay time.Duration
	// StopTimeout is the longest duration of a planned stop. It is long by default, since streams
	// may stay open for a whole shift.
	StopTimeout time.Duration
	// LinkBitsPerSecond limits what this instance may use of the bandwidth between regions.
	LinkBitsPerSecond int64
	MaxHeaderBytes    int
	// QueuedPerTarget limits the queue of a service to this number of requests for each of its
	// targets.
	QueuedPerTarget int
	// Memory is the memory of the process, in bytes, and Descriptors the number of its descriptors. What
	// callers, peers and operators may use of them follows from these. Zero Memory means that it is not
	// stated; the limits of clients then follow from DefaultMemory.
	Memory      int64
	Descriptors int
}

// Load reads the settings from a file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads the settings from a text; file is its name in errors. The error is a
// *jsonc.SyntaxError, or a *jsonc.FaultsError with every fault.
func Parse(file string, text []byte) (Settings, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return Settings{}, err
	}
	o := doc.Root()
	s := Settings{
		ID:                  o.String("id"),
		Region:              o.String("region"),
		DataCentre:          o.String("dataCentre"),
		Listen:              address(o, "listen", ""),
		PeerListen:          address(o, "peerListen", ""),
		AdminListen:         address(o, "adminListen", ""),
		ListURL:             httpURL(o, "listUrl"),
		StoreURLs:           httpURLs(o, "storeUrls"),
		OperatorTokenHash:   tokenHash(o, "operatorTokenHash"),
		LeaseTTL:            positiveDuration(o, "leaseTtl", DefaultLeaseTTL),
		ListInterval:        positiveDuration(o, "listInterval", DefaultListInterval),
		ListLag:             positiveDuration(o, "listLag", DefaultListLag),
		PeerInterval:        positiveDuration(o, "peerInterval", DefaultPeerInterval),
		WorkerInterval:      positiveDuration(o, "workerInterval", DefaultWorkerInterval),
		QuietWorkerInterval: positiveDuration(o, "quietWorkerInterval", DefaultQuietInterval),
		AccountInterval:     positiveDuration(o, "accountInterval", DefaultAccountInterval),
		AccountPeriod:       positiveDuration(o, "accountPeriod", DefaultAccountPeriod),
		BurnInterval:        positiveDuration(o, "burnInterval", DefaultBurnInterval),
		StopDelay:           o.DurationOr("stopDelay", DefaultStopDelay),
		StopTimeout:         positiveDuration(o, "stopTimeout", DefaultStopTimeout),
		LinkBitsPerSecond:   positiveInt(o, "linkBitsPerSecond", DefaultLinkBitsPerSec),
		MaxHeaderBytes:      int(positiveInt(o, "maxHeaderBytes", DefaultMaxHeaderBytes)),
		QueuedPerTarget:     int(positiveInt(o, "queuedPerTarget", DefaultQueuedPerTarget)),
		Memory:              atLeast(o, "memory", 0, intake.MinMemory, jsonc.Value.Size),
		Descriptors:         int(atLeast(o, "descriptors", DefaultDescriptors, intake.MinDescriptors, jsonc.Value.Int)),
	}
	s.BindAddress = ipAddress(o, "bindAddress")
	s.Advertise = address(o, "advertise", s.Listen)
	s.PeerAdvertise = address(o, "peerAdvertise", s.PeerListen)
	o.Close()
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// address reads an IP address with a port. The field is required if the fallback is empty.
func address(o *jsonc.Object, name, fallback string) string {
	if fallback != "" && !o.Has(name) {
		o.Optional(name)
		return fallback
	}
	v, ok := o.Required(name)
	if !ok {
		return ""
	}
	s := v.String()
	host, _, err := net.SplitHostPort(s)
	if err != nil || (host != "" && net.ParseIP(host) == nil) {
		v.Faultf("%q is not an IP address with a port, such as 127.0.0.1:8080", s)
	}
	return s
}

// ipAddress reads an optional IP address; it is empty if the field is missing.
func ipAddress(o *jsonc.Object, name string) string {
	v, ok := o.Optional(name)
	if !ok {
		return ""
	}
	s := v.String()
	if net.ParseIP(s) == nil {
		v.Faultf("%q is not an IP address", s)
	}
	return s
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// tokenHash reads the required hash of a token.
func tokenHash(o *jsonc.Object, name string) string {
	v, ok := o.Required(name)
	if !ok {
		return ""
	}
	s, ok := v.Text()
	if ok && !hashPattern.MatchString(s) {
		v.Faultf("is not a lower-case hexadecimal SHA-256 (64 digits)")
	}
	return s
}

// httpURL reads a required http or https URL.
func httpURL(o *jsonc.Object, name string) string {
	v, ok := o.Required(name)
	if !ok {
		return ""
	}
	return checkURL(v)
}

// httpURLs reads a required list of http or https URLs, which must not be empty.
func httpURLs(o *jsonc.Object, name string) []string {
	v, ok := o.Required(name)
	if !ok {
		return nil
	}
	values := v.List()
	if len(values) == 0 {
		v.Faultf("must not be empty")
	}
	urls := make([]string, len(values))
	for i, e := range values {
		urls[i] = checkURL(e)
	}
	return urls
}

func checkURL(v jsonc.Value) string {
	s := v.String()
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.Faultf("%q is not an http or https URL", s)
	}
	return s
}

// positiveDuration reads an optional duration above zero.
func positiveDuration(o *jsonc.Object, name string, fallback time.Duration) time.Duration {
	return positiveValue(o, name, fallback, jsonc.Value.Duration)
}

// positiveInt reads an optional whole number above zero.
func positiveInt(o *jsonc.Object, name string, fallback int64) int64 {
	return positiveValue(o, name, fallback, jsonc.Value.Int)
}

// atLeast reads an optional number of at least a minimum.
func atLeast(o *jsonc.Object, name string, fallback, minimum int64, read func(jsonc.Value) int64) int64 {
	v, ok := o.Optional(name)
	if !ok {
		return fallback
	}
	n := read(v)
	if n < minimum {
		v.Faultf("is below %d, which an instance needs", minimum)
	}
	return n
}

// positiveValue reads an optional number, or returns the fallback if the field is missing. A number
// that is not above zero is a fault.
func positiveValue[T ~int64](o *jsonc.Object, name string, fallback T, read func(jsonc.Value) T) T {
	v, ok := o.Optional(name)
	if !ok {
		return fallback
	}
	n := read(v)
	if n <= 0 {
		v.Faultf("is not above zero")
	}
	return n
}
