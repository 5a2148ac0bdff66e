package measurer

import (
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	defaultCount       = 10_000
	defaultDuration    = 10 * time.Second
	defaultTimeout     = 30 * time.Second
	defaultConcurrency = 1024
	defaultIdle        = time.Second
	// maxRecordedTime is the highest value of the histograms; longer times count
	// as this one.
	maxRecordedTime = time.Hour
)

// Settings describes a load; zero values stand for the defaults.
type Settings struct {
	// Entries are the addresses that get the requests in turn: entry hosts, or
	// workers to measure without the system.
	Entries []string
	// Remote allows addresses other than loopback.
	Remote  bool
	Service modeler.ServiceName
	Method  string
	// Path follows the service name in the request target.
	Path string
	Body []byte

	// Rate is the number of arrivals per second of an open loop; 0 selects a
	// closed loop.
	Rate float64
	// EvenArrivals spaces the arrivals evenly instead of at random (Poisson).
	EvenArrivals bool
	// Concurrency is the number of requests in flight in a closed loop and
	// their limit in an open loop.
	Concurrency int
	// Count and Duration limit the load; the first limit reached ends it.
	Count    int
	Duration time.Duration
	// Timeout limits the time of one request.
	Timeout time.Duration
	// Idle is the time after which the addresses close an idle connection.
	Idle time.Duration
	// NonRepeatableShare is the share of requests that must not be repeated, from 0 to 1.
	NonRepeatableShare float64
	// Verify makes Run check that each answer of the stand-in upstream carries
	// the key of its own request.
	Verify bool
	// Dialer sends the requests; the default is a new one that reuses
	// connections.
	Dialer *dialer.Dialer
}

func (s Settings) withDefaults() (Settings, error) {
	if len(s.Entries) == 0 {
		return s, eris.New("load settings name no address")
	}
	for _, entry := range s.Entries {
		if !s.Remote && !isLoopback(entry) {
			return s, eris.Errorf("load address %s is not a loopback address", entry)
		}
	}
	if s.Rate < 0 || s.NonRepeatableShare < 0 || s.NonRepeatableShare > 1 {
		return s, eris.New("load rate must not be negative and the share of requests not to be repeated must be from 0 to 1")
	}
	if s.Method == "" {
		s.Method = "POST"
	}
	if s.Path == "" {
		s.Path = "load"
	}
	if s.Concurrency <= 0 {
		s.Concurrency = defaultConcurrency
		if s.Rate == 0 {
			s.Concurrency = 1
		}
	}
	if s.Count <= 0 {
		s.Count = defaultCount
	}
	if s.Duration <= 0 {
		s.Duration = defaultDuration
	}
	if s.Timeout <= 0 {
		s.Timeout = defaultTimeout
	}
	if s.Idle <= 0 {
		s.Idle = defaultIdle
	}
	if s.Dialer == nil {
		// http.Transport would resend requests by itself. An entry host doesn't
		// return the dialer's token, so the connections are trusted without it.
		s.Dialer = dialer.New(dialer.Settings{ReuseWithoutToken: true, ProgressTimeout: s.Timeout})
	}
	return s, nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}
