// Package settings reads the settings of one entry instance, a file in JSON
// with comments. A wrong file is refused with every fault and its line.
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
)

// Settings are the settings of one entry instance.
type Settings struct {
	// ID is unique for each start of an instance.
	ID         string
	Region     string
	DataCentre string
	// Listen answers callers, PeerListen peers, and AdminListen operators and probes.
	Listen      string
	PeerListen  string
	AdminListen string
	// Advertise and PeerAdvertise are the addresses by which others reach the instance.
	Advertise     string
	PeerAdvertise string
	// BindAddress is the local IP address of outgoing connections; empty leaves it to the system.
	BindAddress string
	// StoreURLs are the addresses of the store; ListURL is that of the instance list.
	StoreURLs []string
	ListURL   string
	// OperatorTokenHash is the lower-case hexadecimal SHA-256 of the operators' token.
	OperatorTokenHash string
	LeaseTTL          time.Duration
	ListInterval      time.Duration
	PeerInterval      time.Duration
	// ListLag is how far the platform's list may lag.
	ListLag time.Duration
	// WorkerInterval is how often a worker is called about which something is open,
	// QuietWorkerInterval how often another.
	WorkerInterval      time.Duration
	QuietWorkerInterval time.Duration
	// AccountInterval is how often counted requests and link bytes are written to the store.
	AccountInterval time.Duration
	// AccountPeriod is the length of the periods that accounts are kept by.
	AccountPeriod time.Duration
	// BurnInterval is how often what was counted of objectives is written to the store.
	BurnInterval time.Duration
	// StopDelay is how long a planned stop still serves while the balancer learns of it.
	StopDelay time.Duration
	// StopTimeout bounds a planned stop; streams may stay open for a whole shift.
	StopTimeout time.Duration
	// LinkBitsPerSecond is the part of the link between regions that this instance may use.
	LinkBitsPerSecond int64
	MaxHeaderBytes    int
	// QueuedPerTarget bounds the waiting requests of a service, for each of its targets.
	QueuedPerTarget int
}

// Load reads the settings from a file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads the settings from a text; file names it in faults.
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
		LeaseTTL:            positive(o, "leaseTtl", DefaultLeaseTTL),
		ListInterval:        positive(o, "listInterval", DefaultListInterval),
		ListLag:             positive(o, "listLag", DefaultListLag),
		PeerInterval:        positive(o, "peerInterval", DefaultPeerInterval),
		WorkerInterval:      positive(o, "workerInterval", DefaultWorkerInterval),
		QuietWorkerInterval: positive(o, "quietWorkerInterval", DefaultQuietInterval),
		AccountInterval:     positive(o, "accountInterval", DefaultAccountInterval),
		AccountPeriod:       positive(o, "accountPeriod", DefaultAccountPeriod),
		BurnInterval:        positive(o, "burnInterval", DefaultBurnInterval),
		StopDelay:           o.DurationOr("stopDelay", DefaultStopDelay),
		StopTimeout:         positive(o, "stopTimeout", DefaultStopTimeout),
		LinkBitsPerSecond:   positiveInt(o, "linkBitsPerSecond", DefaultLinkBitsPerSec),
		MaxHeaderBytes:      int(positiveInt(o, "maxHeaderBytes", DefaultMaxHeaderBytes)),
		QueuedPerTarget:     int(positiveInt(o, "queuedPerTarget", DefaultQueuedPerTarget)),
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

// address reads a host:port; an empty fallback makes the field required.
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

// ipAddress reads an optional IP address.
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

// tokenHash reads the hash of a token.
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

func httpURL(o *jsonc.Object, name string) string {
	v, ok := o.Required(name)
	if !ok {
		return ""
	}
	return checkURL(v)
}

func httpURLs(o *jsonc.Object, name string) []string {
	v, ok := o.Required(name)
	if !ok {
		return nil
	}
	values := v.List()
	if len(values) == 0 {
		v.Faultf("names no address")
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
		v.Faultf("%q is not an http address", s)
	}
	return s
}

func positive(o *jsonc.Object, name string, missing time.Duration) time.Duration {
	return aboveZero(o, name, missing, jsonc.Value.Duration)
}

func positiveInt(o *jsonc.Object, name string, missing int64) int64 {
	return aboveZero(o, name, missing, jsonc.Value.Int)
}

// aboveZero returns an optional number; zero and less is a fault.
func aboveZero[T ~int64](o *jsonc.Object, name string, missing T, read func(jsonc.Value) T) T {
	v, ok := o.Optional(name)
	if !ok {
		return missing
	}
	n := read(v)
	if n <= 0 {
		v.Faultf("is not above zero")
	}
	return n
}
