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
	// Path is where a process accepts links.
	Path = "/link"
	// pingEvery is the longest time without a message on a healthy link.
	pingEvery = 250 * time.Millisecond
	// silence is how long a link may stay without a message before it is
	// closed and dialled anew.
	silence = time.Second
	// dialTimeout bounds the opening of a link.
	dialTimeout = time.Second
	// connectTimeout bounds the connection under it: two round trips between
	// distant regions. A host without power answers nothing, and the system
	// would wait a second before it asks again.
	connectTimeout = 250 * time.Millisecond
	// maxFrame bounds one message. The longest is a status that lists the jobs
	// of a large cell; snapshots travel in pieces.
	maxFrame = 64 << 20
	// ringSize bounds the messages waiting in each direction; a process that
	// can't keep up loses the link instead of the memory.
	ringSize = 4096
)

// Link is one connection to another process.
type Link struct {
	conn *websocket.Conn
	in   chan *modeler.Message
	out  chan *modeler.Message
	done chan struct{}
	once sync.Once
	// clock counts suspensions of the host, which timers don't.
	clock func() modeler.ClockReading
	// heard is the reading at the newest message.
	heard atomic.Int64
	// Peer is what the other side said of itself first.
	Peer modeler.Hello
}

// Connect opens the connection under a link.
type Connect func(ctx context.Context, network, address string) (net.Conn, error)

// connect is the Connect of the network.
var connect = (&net.Dialer{Timeout: connectTimeout}).DialContext

// Dial opens a link to address and exchanges the first messages.
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
	return start(ctx, conn, clock, hello)
}

// Accept upgrades an HTTP request to a link.
func Accept(w http.ResponseWriter, r *http.Request, hello modeler.Hello) (*Link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, classifier.Wrap(classifier.Malformed, err, "accept a link")
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return start(ctx, conn, clocker.New().Now, hello)
}

func start(ctx context.Context, conn *websocket.Conn, clock func() modeler.ClockReading, hello modeler.Hello) (*Link, error) {
	conn.SetReadLimit(maxFrame)
	l := &Link{
		conn: conn,
		in:   make(chan *modeler.Message, ringSize),
		out:  make(chan *modeler.Message, ringSize),
		done: make(chan struct{}),

		clock: clock,
	}
	if err := l.greet(ctx, hello); err != nil {
		l.Close()
		return nil, err
	}
	l.heard.Store(int64(clock()))
	go l.read()
	go l.write()
	return l, nil
}

func (l *Link) greet(ctx context.Context, hello modeler.Hello) error {
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

// Send queues a message; it reports false when the link is closed or its ring
// is full, and then closes the link.
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

// Receive returns the messages from the other side; the channel is closed
// with the link.
func (l *Link) Receive() <-chan *modeler.Message { return l.in }

// Quiet returns how long nothing has been heard from the other side, which sends
// a message every 250 ms at least.
func (l *Link) Quiet() time.Duration { return l.clock().Sub(modeler.ClockReading(l.heard.Load())) }

// Done is closed with the link.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link at once.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

// read is the goroutine that takes messages off the connection. A message that
// comes after a silence is not handed on: the process may have been suspended,
// and what waited in the connection meanwhile is out of date.
func (l *Link) read() {
	defer close(l.in)
	defer l.Close()
	// One timer for all messages costs less than a context for each.
	watch := time.AfterFunc(silence, l.Close)
	defer watch.Stop()
	for {
		watch.Reset(silence)
		began := l.clock()
		m, err := l.readMessage(context.Background())
		watch.Stop()
		if err != nil || l.clock().Sub(began) > silence {
			return
		}
		l.heard.Store(int64(l.clock()))
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

// write is the goroutine that puts messages on the connection, and a ping
// whenever there is none for a while.
func (l *Link) write() {
	defer l.Close()
	timer := time.NewTimer(pingEvery)
	defer timer.Stop()
	watch := time.AfterFunc(silence, l.Close)
	defer watch.Stop()
	ping := &modeler.Message{Kind: modeler.PingMessage}
	for {
		watch.Stop()
		timer.Reset(pingEvery)
		next := ping
		select {
		case next = <-l.out:
		case <-timer.C:
		case <-l.done:
			return
		}
		watch.Reset(silence)
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

// decoder allows the long lists of a snapshot's or an inventory's size.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()
	if err != nil {
		panic("linker: decoder options: " + err.Error())
	}
	return mode
}
