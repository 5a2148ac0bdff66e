package worker

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Fault is a way in which a request or a task is handled wrongly on purpose.
type Fault string

// The faults of requests. FaultFail and FaultSilent also apply to tasks.
const (
	FaultNone       Fault = ""
	FaultSlow       Fault = "slow"        // answers after an additional Delay
	FaultSilent     Fault = "silent"      // reads the request and never answers
	FaultFail       Fault = "fail"        // answers 500
	FaultShort      Fault = "short"       // sends less than Content-Length and keeps the connection open
	FaultExcess     Fault = "excess"      // sends more than Content-Length
	FaultClose      Fault = "close"       // closes the connection after reading the request
	FaultLate       Fault = "late"        // answers after Delay, even if the connection is closed
	FaultTwice      Fault = "twice"       // sends the answer twice
	FaultCut        Fault = "cut"         // closes the connection in the middle of a body with Content-Length
	FaultCutChunked Fault = "cut-chunked" // closes the connection in the middle of a chunked body
	FaultCutHeader  Fault = "cut-header"  // closes the connection in the middle of the header
	FaultInform     Fault = "inform"      // sends 102 (without the request token) and 103 before the answer
	FaultEarly      Fault = "early"       // answers before it reads the body
	FaultRefuse     Fault = "refuse"      // answers 413 without reading the request, and closes the connection
	FaultTrailer    Fault = "trailer"     // sends a chunked body and trailers
	FaultLarge      Fault = "large"       // sends a body of Size bytes
	FaultUnframed   Fault = "unframed"    // sends a body without a length and closes the connection in its middle
	FaultGarbage    Fault = "garbage"     // sends bytes that aren't HTTP
	FaultFlood      Fault = "flood"       // sends header lines without end
	FaultEmpty      Fault = "empty"       // answers 204
	FaultUnchanged  Fault = "unchanged"   // answers 304
)

// The request headers that set a fault, its delay and its size for one request.
const (
	FaultHeader = "Worker-Fault"
	DelayHeader = "Worker-Fault-Delay"
	SizeHeader  = "Worker-Fault-Size"
)

// Faults configures the faults of a worker.
type Faults struct {
	// Requests is the fault of all requests that don't set one in a header.
	Requests Fault
	// Tasks is the fault of all tasks: FaultFail or FaultSilent.
	Tasks Fault
	// Delay and Size, in bytes, are the parameters of the faults that use them.
	Delay time.Duration
	Size  int64
	// Choose, if set, chooses the fault of each request in place of Requests.
	Choose func(r *http.Request) Fault
}

// requestFault is the fault of one request with its parameters.
type requestFault struct {
	fault Fault
	delay time.Duration
	size  int64
}

func (f *Faults) faultOf(r *http.Request) requestFault {
	m := requestFault{fault: f.Requests, delay: f.Delay, size: f.Size}
	if f.Choose != nil {
		m.fault = f.Choose(r)
	}
	if name := r.Header.Get(FaultHeader); name != "" {
		m.fault = Fault(name)
	}
	if d, err := time.ParseDuration(r.Header.Get(DelayHeader)); err == nil {
		m.delay = d
	}
	if n, err := strconv.ParseInt(r.Header.Get(SizeHeader), 10, 64); err == nil {
		m.size = n
	}
	return m
}

// run serves the request with its fault.
func (r *request) run() {
	switch r.fault {
	case FaultSlow:
		r.simulateWork(r.delay)
		r.serveWithoutFault()
	case FaultSilent:
		r.readBody()
		<-r.request.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultFail:
		r.readBody()
		http.Error(r.writer, "failed on purpose", http.StatusInternalServerError)
	case FaultInform:
		r.sendInformational()
	case FaultEarly:
		r.answerEarly()
	case FaultEmpty:
		r.readBody()
		r.writer.WriteHeader(http.StatusNoContent)
	case FaultUnchanged:
		r.readBody()
		r.writer.Header().Set("Etag", `"19"`)
		r.writer.WriteHeader(http.StatusNotModified)
	case FaultTrailer:
		r.sendTrailers()
	case FaultLarge:
		r.sendLarge()
	case FaultLate:
		r.answerLate()
	case FaultShort, FaultExcess, FaultClose, FaultTwice, FaultCut, FaultCutChunked,
		FaultCutHeader, FaultRefuse, FaultUnframed, FaultGarbage, FaultFlood:
		r.hijack()
	default:
		r.serveWithoutFault()
	}
}

func (r *request) sendInformational() {
	r.readBody()
	token := r.writer.Header()[modeler.RequestHeader]
	r.writer.Header().Del(modeler.RequestHeader)
	r.writer.WriteHeader(http.StatusProcessing)
	if token != nil {
		r.writer.Header()[modeler.RequestHeader] = token
	}
	r.writer.Header().Set("Link", "</seal.css>; rel=preload")
	r.writer.WriteHeader(http.StatusEarlyHints)
	r.writer.Header().Del("Link")
	r.simulateWork(r.delay)
	r.serveWithoutFault()
}

// answerEarly sends the header and one line before it reads the body.
func (r *request) answerEarly() {
	control := http.NewResponseController(r.writer)
	if err := control.EnableFullDuplex(); err != nil {
		panic(err)
	}
	io.WriteString(r.writer, "early\n")
	if err := control.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.readBody()
	r.writer.Write(r.text())
}

func (r *request) sendTrailers() {
	r.readBody()
	r.writer.Header().Set("Trailer", "Worker-Digest")
	r.writer.Write(r.text())
	r.writer.Header().Set("Worker-Digest", r.echo.Digest)
	// This trailer isn't listed in the Trailer header.
	r.writer.Header().Set(http.TrailerPrefix+"Worker-Sent", r.request.Trailer.Get("Caller-Digest"))
}

// answerLate answers after the delay, even if the connection has been closed. A
// connection that is still open stays usable for the next request.
func (r *request) answerLate() {
	r.readBody()
	time.Sleep(min(r.delay, r.worker.settings.MaxServiceTime))
	r.answer()
}

func (r *request) sendLarge() {
	r.readBody()
	block := bytes.Repeat([]byte("0123456789abcdef"), 2048)
	for left := r.size; left > 0; left -= int64(len(block)) {
		if _, err := r.writer.Write(block[:min(left, int64(len(block)))]); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// hijack takes over the connection from the HTTP server and sends an answer that
// violates the protocol.
func (r *request) hijack() {
	if r.fault != FaultRefuse {
		r.readBody()
	}
	text := r.text()
	conn, _, err := http.NewResponseController(r.writer).Hijack()
	if err != nil {
		panic(err)
	}
	r.conn = conn
	conn.SetDeadline(time.Now().Add(r.worker.settings.MaxServiceTime))
	r.breakProtocol(conn, text)
}

func (r *request) breakProtocol(conn net.Conn, text []byte) {
	token := ""
	if value := r.writer.Header().Get(modeler.RequestHeader); value != "" {
		token = modeler.RequestHeader + ": " + value + "\r\n"
	}
	status := "HTTP/1.1 200 OK\r\n" + token
	header := status + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))
	chunk := status + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	half := string(text[:len(text)/2])
	send := func(parts ...string) {
		for _, part := range parts {
			io.WriteString(conn, part)
		}
	}
	switch r.fault {
	case FaultShort:
		send(header, half)
		r.holdOpen(conn)
	case FaultExcess:
		send(header + string(text) + half)
		r.holdOpen(conn)
	case FaultTwice:
		send(header + string(text))
		time.Sleep(r.delay)
		send(header + string(text))
		r.holdOpen(conn)
	case FaultCut:
		send(header, half)
	case FaultCutChunked:
		send(chunk)
	case FaultCutHeader:
		send("HTTP/1.1 200 OK\r\nContent-Le")
	case FaultRefuse:
		send("HTTP/1.1 413 Request Entity Too Large\r\n" + token + "Connection: close\r\nContent-Length: 0\r\n\r\n")
	case FaultUnframed:
		send(status+"\r\n", half)
	case FaultGarbage:
		send("zzz\r\n\r\n")
	case FaultFlood:
		r.flood(conn)
	}
}

// holdOpen keeps the connection open until the peer closes it or the idle timeout
// expires.
func (r *request) holdOpen(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(r.worker.settings.IdleTimeout))
	io.Copy(io.Discard, conn)
}

// flood sends header lines until the peer closes the connection.
func (r *request) flood(conn net.Conn) {
	line := bytes.Repeat([]byte("X-Flood: 0123456789abcdef\r\n"), 1000)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for {
		if _, err := conn.Write(line); err != nil {
			return
		}
	}
}
