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
	// RepeatHeader with the value "never" marks a request that must not be
	// repeated.
	RepeatHeader = "Goldcreststack-Repeat"
	// CallerHeader names the caller for fair queueing; the load balancer should
	// set it.
	CallerHeader = "Goldcreststack-Caller"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// ReplayedHeader marks a recorded answer that is returned for a repeated
	// request.
	ReplayedHeader = "Idempotency-Replayed"
	copyBufferSize = 32 << 10
	// smallAnswerSize fits the write buffer of net/http, so writing an answer
	// of at most this size never blocks on the caller.
	smallAnswerSize = 2 << 10
)

// copyBuffers reuses the buffers for copying answers: one new buffer for each
// readAnswer made up half of all memory that the entry role allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// answerRecord collects an answer for the at-most-once record of its request.
type answerRecord struct {
	answer modeler.RecordedAnswer
	size   int
}

func newAnswerRecord(a *dialer.Answer) *answerRecord {
	r := &answerRecord{answer: modeler.RecordedAnswer{Status: a.Status}}
	for name, values := range a.Header {
		for _, value := range values {
			r.answer.Header = append(r.answer.Header, modeler.HeaderField{Name: name, Value: value})
		}
	}
	r.size = recorder.Size(&r.answer)
	r.dropIfTooLong()
	return r
}

func (r *answerRecord) appendBody(data []byte) {
	r.size += len(data)
	r.dropIfTooLong()
	if !r.answer.Dropped {
		r.answer.Body = append(r.answer.Body, data...)
	}
}

// dropIfTooLong drops the header and body of an answer that exceeds
// recorder.MaxAnswerSize.
func (r *answerRecord) dropIfTooLong() {
	if r.size > recorder.MaxAnswerSize {
		r.answer = modeler.RecordedAnswer{Status: r.answer.Status, Dropped: true}
	}
}

// relay copies an upstream's answer to the caller and reports whether it was
// read to its end. It goes on reading when the caller has gone, since the
// worker may run the request until the answer ends and its slot can't be reused
// before that.
func (x *exchange) relay(a *dialer.Answer, record *answerRecord) (isComplete bool, err error) {
	announced := x.writeHead(a)
	mayBlock := a.Length < 0 || a.Length > smallAnswerSize
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	isCallerGone := false
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 && record != nil {
			record.appendBody(buffer[:n])
		}
		if n > 0 && !isCallerGone {
			isCallerGone = !x.writePart(buffer[:n], mayBlock, a.Length < 0)
		}
		if err == io.EOF {
			break
		}
		if err == nil && x.exceedsLimit() {
			err = classifier.New(classifier.AnswerTruncated, "the answer has not ended within the request limit")
		}
		if err != nil {
			return false, err
		}
	}
	if mayBlock {
		_ = x.upload.control.SetWriteDeadline(time.Time{})
	}
	if isCallerGone {
		return true, classifier.New(classifier.CallerGone, "the caller has gone")
	}
	writeTrailer(x.w, a, announced)
	return true, nil
}

// exceedsLimit reports whether the current attempt has taken longer than the
// service's request limit.
func (x *exchange) exceedsLimit() bool {
	limit := x.service.Limit.Std()
	return limit > 0 && x.forwarder.now() > x.attemptStart.Add(limit)
}

// writePart writes a part of an answer to the caller and reports whether that
// succeeded.
func (x *exchange) writePart(data []byte, mayBlock, flush bool) bool {
	if mayBlock {
		_ = x.upload.control.SetWriteDeadline(time.Now().Add(stallTimeout))
	}
	if _, err := x.w.Write(data); err != nil {
		return false
	}
	if flush {
		return x.upload.control.Flush() == nil
	}
	return true
}

// abortConnection closes the caller's connection, so that the caller can't take
// a partial answer for a complete one. It flushes what was written first: a
// connection that closes without a byte looks like an idle one, on which HTTP
// clients resend the request by themselves.
func (x *exchange) abortConnection(err error) {
	x.endKind = classifier.KindOf(err)
	if x.endKind != classifier.CallerGone {
		_ = x.upload.control.SetWriteDeadline(time.Now().Add(discardTimeout))
		_ = x.upload.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// writeHead writes the status and header of an answer and returns the names of
// its announced trailers.
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
	x.upload.setConnectionClose(h)
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

// deleteSystemHeaders deletes from a worker's answer the header fields that
// mark the system's own answers.
func deleteSystemHeaders(h http.Header) {
	delete(h, listener.OutcomeHeader)
	delete(h, ReplayedHeader)
}

// replay answers a repeated request with the recorded answer.
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
