package dialer

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// defaultConnectTimeout is shorter than the first retransmission of a lost
	// SYN (1 s), since trying another worker is faster than waiting for that.
	defaultConnectTimeout  = 500 * time.Millisecond
	defaultProgressTimeout = 10 * time.Second
	defaultIdleTimeout     = time.Second

	// maxAtMostOnceIdle bounds the time since the last answer on a connection
	// that carries a request which must not be repeated. Within that time a
	// network device between the hosts is unlikely to have dropped the
	// connection.
	maxAtMostOnceIdle = time.Second
)

// Settings configures a Dialer; zero values select the defaults.
type Settings struct {
	// ConnectTimeout bounds the wait for a connection, including the time to open it;
	// the default is 500 ms.
	ConnectTimeout time.Duration
	// ProgressTimeout bounds the time without progress while a body is streamed; the
	// default is 10 s.
	ProgressTimeout time.Duration
	// ReuseWithoutToken reuses connections to workers that don't return the request's
	// token. If such a worker answers a request twice, a caller can get the
	// answer to another caller's request.
	ReuseWithoutToken bool
	// Session names the entry process to the workers in SessionHeader.
	Session string
	// Dial opens a connection; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dialer keeps connections to workers and sends requests over them.
type Dialer struct {
	settings Settings
	// tokenPrefix and tokenCount make up the tokens of requests.
	tokenPrefix string
	tokenCount  atomic.Uint64

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// Count holds the number of open connections to a worker and how many of them
// are idle.
type Count struct {
	Open int `json:"open"`
	Idle int `json:"idle"`
}

// New returns a Dialer without connections.
func New(settings Settings) *Dialer {
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = defaultConnectTimeout
	}
	if settings.ProgressTimeout <= 0 {
		settings.ProgressTimeout = defaultProgressTimeout
	}
	if settings.Dial == nil {
		settings.Dial = dialTCP
	}
	return &Dialer{
		settings:    settings,
		tokenPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
		pools:       make(map[poolKey]*pool),
	}
}

// Count returns the number of connections to a worker process; the generation
// tells the starts of a worker apart.
func (d *Dialer) Count(worker modeler.WorkerID, generation modeler.Generation) Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[poolKey{worker, generation}]
	if p == nil {
		return Count{}
	}
	return Count{Open: p.open, Idle: len(p.idle)}
}

// Forget closes the idle connections to a worker process and drops what is
// known of it. Connections in use are closed after their answers.
func (d *Dialer) Forget(worker modeler.WorkerID, generation modeler.Generation) {
	d.mu.Lock()
	key := poolKey{worker, generation}
	p := d.pools[key]
	if p == nil {
		d.mu.Unlock()
		return
	}
	delete(d.pools, key)
	idle := p.retire()
	d.mu.Unlock()
	closeAll(idle)
}

// Close closes all idle connections; connections in use are closed after their
// answers.
func (d *Dialer) Close() {
	d.mu.Lock()
	var idle []*conn
	for key, p := range d.pools {
		delete(d.pools, key)
		idle = append(idle, p.retire()...)
	}
	d.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.raw.Close()
	}
}
