package linker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/clocker"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// Path is the HTTP path on which a process accepts links.
	Path = "/link"
	// pingInterval is the longest time without a message on a healthy link.
	pingInterval = 250 * time.Millisecond
	// silenceTimeout is how long a link may stay without a message before it is
	// closed; its keeper then opens a new one.
	silenceTimeout = time.Second
	// dialTimeout bounds the opening of a link, with the exchange of the first
	// messages.
	dialTimeout = time.Second
	// connectTimeout bounds the TCP connect of a link: two round trips between
	// distant regions. A host without power doesn't answer, and the operating
	// system would wait a second before its next attempt.
	connectTimeout = 250 * time.Millisecond
	// maxMessageSize bounds one message, in bytes. The longest is a status that
	// lists the jobs of a large cell; snapshots are sent in pieces.
	maxMessageSize = 64 << 20
	// queueSize bounds the messages that wait in each direction. A link whose
	// process can't keep up is closed, so that the queues don't take all memory.
	queueSize = 4096
)

// Link is one connection to another process.
type Link struct {
	conn      *websocket.Conn
	in        chan *modeler.Message
	out       chan *modeler.Message
	done      chan struct{}
	closeOnce sync.Once
	// clock counts suspensions of the host, which timers don't.
	clock func() modeler.ClockReading
	// lastHeard is the clock reading at the newest message.
	lastHeard atomic.Int64
	// Peer is the first message of the other process, which describes it.
	Peer modeler.Hello
}

// Connect opens the connection that a link uses.
type Connect func(ctx context.Context, network, address string) (net.Conn, error)

// connect is the default Connect: a TCP dialer with connectTimeout.
var connect = (&net.Dialer{Timeout: connectTimeout}).DialContext

// ConnectFrom returns the default Connect with connections from the IP address.
func ConnectFrom(ip string) Connect {
	return (&net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).DialContext
}

// Dial opens a link to address and exchanges the first messages. The error's
// kind is ConnectFailed if the connection fails.
func Dial(ctx context.Context, address string, hello modeler.Hello) (*Link, error) {
	return dial(ctx, connect, clocker.New().Now, address, hello)
}

func dial(ctx context.Context, connect Connect, clock func() modeler.ClockReading, address string, hello modeler.Hello) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: connect, DisableKeepAlives: true}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, classifier.Wrap(classifier.ConnectFailed, err, address)
	}
	return startLink(ctx, conn, clock, hello)
}

// Accept upgrades an HTTP request to a link and exchanges the first messages.
func Accept(w http.ResponseWriter, r *http.Request, hello modeler.Hello) (*Link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, classifier.Wrap(classifier.Malformed, err, "accept a link")
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return startLink(ctx, conn, clocker.New().Now, hello)
}

func startLink(ctx context.Context, conn *websocket.Conn, clock func() modeler.ClockReading, hello modeler.Hello) (*Link, error) {
	conn.SetReadLimit(maxMessageSize)
	l := &Link{
		conn: conn,
		in:   make(chan *modeler.Message, queueSize),
		out:  make(chan *modeler.Message, queueSize),
		done: make(chan struct{}),

		clock: clock,
	}
	begun := clock()
	if err := l.exchangeHello(ctx, hello); err != nil {
		l.Close()
		return nil, err
	}
	now := clock()
	if took := now.Sub(begun); took > dialTimeout {
		l.Close()
		return nil, classifier.New(classifier.ConnectFailed, "the first messages took %s, with suspensions of the host", took)
	}
	l.lastHeard.Store(int64(now))
	go l.read()
	go l.write()
	return l, nil
}

// exchangeHello sends the first message and waits for that of the other
// process.
func (l *Link) exchangeHello(ctx context.Context, hello modeler.Hello) error {
	first := &modeler.Message{Kind: modeler.HelloMessage, Hello: &hello}
	if err := l.writeMessage(ctx, first); err != nil {
		return err
	}
	answer, err := l.readMessage(ctx)
	if err != nil {
		return err
	}
	if answer.Kind != modeler.HelloMessage || answer.Hello == nil {
		return classifier.New(classifier.Malformed, "the link began with message kind %d", answer.Kind)
	}
	l.Peer = *answer.Hello
	return nil
}

// Send queues a message. If the queue is full, it closes the link; it reports
// false if the link is closed.
func (l *Link) Send(m *modeler.Message) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.out <- m:
		return true
	default:
		l.Close()
		return false
	}
}

// Receive returns the channel of the messages from the other process; the
// channel is closed when the link is.
func (l *Link) Receive() <-chan *modeler.Message { return l.in }

// SilentFor returns how long nothing has been received from the other process,
// which sends a message every 250 ms at least.
func (l *Link) SilentFor() time.Duration {
	return l.clock().Sub(modeler.ClockReading(l.lastHeard.Load()))
}

// Done returns a channel that is closed when the link is.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close closes the link at once, without a closing handshake.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

// read is the goroutine that receives messages. A message that comes after a
// silence is discarded and closes the link: the process may have been
// suspended, and messages that waited in the connection meanwhile are out of
// date.
func (l *Link) read() {
	defer close(l.in)
	defer l.Close()
	// One timer for all messages costs less than a context for each message.
	watchdog := time.AfterFunc(silenceTimeout, l.Close)
	defer watchdog.Stop()
	for {
		watchdog.Reset(silenceTimeout)
		m, err := l.readMessage(context.Background())
		watchdog.Stop()
		// The silence counts from the last message, not from the start of the read,
		// and up to the reading that is stored: the host may be suspended at any point
		// between two messages.
		now := l.clock()
		if err != nil || now.Sub(modeler.ClockReading(l.lastHeard.Load())) > silenceTimeout {
			return
		}
		l.lastHeard.Store(int64(now))
		if m.Kind == modeler.PingMessage {
			continue
		}
		select {
		case l.in <- m:
		case <-l.done:
			return
		}
	}
}

// write is the goroutine that sends the queued messages, and a ping after each
// pingInterval without one.
func (l *Link) write() {
	defer l.Close()
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	watchdog := time.AfterFunc(silenceTimeout, l.Close)
	defer watchdog.Stop()
	ping := &modeler.Message{Kind: modeler.PingMessage}
	for {
		watchdog.Stop()
		timer.Reset(pingInterval)
		next := ping
		select {
		case next = <-l.out:
		case <-timer.C:
		case <-l.done:
			return
		}
		watchdog.Reset(silenceTimeout)
		if err := l.writeMessage(context.Background(), next); err != nil {
			return
		}
	}
}

func (l *Link) readMessage(ctx context.Context) (*modeler.Message, error) {
	_, data, err := l.conn.Read(ctx)
	if err != nil {
		return nil, classifier.Wrap(classifier.ConnectFailed, err, "read from a link")
	}
	m := new(modeler.Message)
	if err := decoder.Unmarshal(data, m); err != nil {
		return nil, classifier.Wrap(classifier.Malformed, err, "decode a message")
	}
	return m, nil
}

func (l *Link) writeMessage(ctx context.Context, m *modeler.Message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "encode a message")
	}
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return classifier.Wrap(classifier.ConnectFailed, err, "write to a link")
	}
	return nil
}

// decoder accepts lists as long as those of a snapshot or an inventory, and
// strings of any bytes, such as a path that a caller has sent.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic("linker: decoder options: " + err.Error())
	}
	return mode
}
