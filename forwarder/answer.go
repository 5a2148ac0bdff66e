package forwarder

import (
	"io"
	"net/http"
	"sync"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/listener"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/recorder"
)

const (
	// RepeatHeader with the value never marks a request that must not be
	// repeated.
	RepeatHeader = "Goldcreststack-Repeat"
	// CallerHeader names the caller for fair shares; the balancer should set
	// it.
	CallerHeader = "Goldcreststack-Caller"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// ReplayedHeader marks a recorded answer.
	ReplayedHeader = "Idempotency-Replayed"
	copySize       = 32 << 10
	// smallAnswer fits the buffer of net/http, so that writing it never waits
	// for the caller.
	smallAnswer = 2 << 10
)

// buffers are kept, since one for each answer was half of all memory that the
// entry role allocated.
var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// recording keeps an answer for the at-most-once record.
type recording struct {
	answer modeler.RecordedAnswer
	size   int
}

func newRecording(a *dialer.Answer) *recording {
	r := &recording{answer: modeler.RecordedAnswer{Status: a.Status}}
	for name, values := range a.Header {
		for _, value := range values {
			r.answer.Header = append(r.answer.Header, modeler.HeaderField{Name: name, Value: value})
		}
	}
	r.size = recorder.Size(&r.answer)
	r.bound()
	return r
}

func (r *recording) write(data []byte) {
	r.size += len(data)
	r.bound()
	if !r.answer.Dropped {
		r.answer.Body = append(r.answer.Body, data...)
	}
}

// bound drops an answer that is too long to be kept.
func (r *recording) bound() {
	if r.size > recorder.AnswerLimit {
		r.answer = modeler.RecordedAnswer{Status: r.answer.Status, Dropped: true}
	}
}

// relay copies an upstream's answer to the caller and reports whether it was
// read to its end. Reading goes on when the caller has gone: until the end the
// worker may be running the request, and its slot can't be used.
func (x *exchange) relay(a *dialer.Answer, t *recording) (whole bool, err error) {
	announced := x.writeHead(a)
	slow := a.Length < 0 || a.Length > smallAnswer
	kept := buffers.Get().(*[copySize]byte)
	defer buffers.Put(kept)
	buffer := kept[:]
	gone := false
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 && t != nil {
			t.write(buffer[:n])
		}
		if n > 0 && !gone {
			gone = !x.pass(buffer[:n], slow, a.Length < 0)
		}
		if err == io.EOF {
			break
		}
		if err == nil && x.overdue() {
			err = classifier.New(classifier.AnswerTruncated, "the answer has not ended within the request limit")
		}
		if err != nil {
			return false, err
		}
	}
	if slow {
		_ = x.upload.control.SetWriteDeadline(time.Time{})
	}
	if gone {
		return true, classifier.New(classifier.CallerGone, "the caller has gone")
	}
	writeTrailer(x.w, a, announced)
	return true, nil
}

// overdue says that an answer takes longer than a request may run.
func (x *exchange) overdue() bool {
	limit := x.service.Limit.Std()
	return limit > 0 && x.shell.now() > x.begun.Add(limit)
}

// pass writes a part of an answer; it reports false when the caller doesn't
// take it.
func (x *exchange) pass(data []byte, slow, flush bool) bool {
	if slow {
		_ = x.upload.control.SetWriteDeadline(time.Now().Add(stall))
	}
	if _, err := x.w.Write(data); err != nil {
		return false
	}
	if flush {
		return x.upload.control.Flush() == nil
	}
	return true
}

// abort breaks the caller's connection, so that a part of an answer isn't
// taken for the whole. The part is sent first: a connection that closes
// without a byte looks like an idle one, on which clients send again by
// themselves.
func (x *exchange) abort(err error) {
	x.ended = classifier.KindOf(err)
	if x.ended != classifier.CallerGone {
		_ = x.upload.control.SetWriteDeadline(time.Now().Add(discardTime))
		_ = x.upload.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// writeHead writes status and header and returns the announced trailer names.
func (x *exchange) writeHead(a *dialer.Answer) map[string]bool {
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	var announced map[string]bool
	for name := range a.Trailer() {
		if announced == nil {
			announced = make(map[string]bool)
		}
		announced[name] = true
		h.Add("Trailer", name)
	}
	x.upload.announceClose(h)
	x.w.WriteHeader(a.Status)
	if a.Length < 0 {
		_ = x.upload.control.Flush()
	}
	return announced
}

func writeTrailer(w http.ResponseWriter, a *dialer.Answer, announced map[string]bool) {
	for name, values := range a.Trailer() {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}

// disown drops the fields by which callers know the system's own answers.
func disown(h http.Header) {
	delete(h, listener.OutcomeHeader)
	delete(h, ReplayedHeader)
}

// replay answers a repeat with the recorded answer.
func replay(w http.ResponseWriter, record *modeler.RequestRecord) {
	a := &record.Answer
	if a.Dropped {
		listener.WriteError(w, classifier.New(classifier.AnswerDropped, "the request was run; its answer was too long to be kept"), classifier.OutcomeRun)
		return
	}
	h := w.Header()
	for _, field := range a.Header {
		h.Add(field.Name, field.Value)
	}
	h.Set(ReplayedHeader, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
