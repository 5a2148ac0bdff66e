package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"goldcreststack.example/goldcreststack/classifier"
)

// bodyHeadSize is how much of a body is buffered before its request is queued.
// A body that fits can be sent again to another worker.
const bodyHeadSize = 64 << 10

// memoryBudget bounds the memory of all buffered request bodies, in bytes.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

func newMemoryBudget(limit int64) *memoryBudget { return &memoryBudget{limit: limit} }

// reserve takes size bytes from the budget and reports whether that many were
// left.
func (p *memoryBudget) reserve(size int64) bool {
	if p.used.Add(size) <= p.limit {
		return true
	}
	p.used.Add(-size)
	return false
}

func (p *memoryBudget) free(size int64) { p.used.Add(-size) }

// payload is the body of a caller's request: a buffered head, and the rest as
// it arrives.
type payload struct {
	head   []byte
	rest   io.Reader
	length int64
	// trailer holds the trailer fields that the caller has announced; only a
	// chunked body can carry them to the worker.
	trailer  http.Header
	reserved int64
	memory   *memoryBudget
}

// release returns the reserved memory to the budget.
func (p *payload) release() { p.memory.free(p.reserved) }

// isBuffered reports whether the whole body is in memory.
func (p *payload) isBuffered() bool { return p.rest == nil }

// reader returns the body from its start. It can be called more than once only
// if the body is buffered.
func (p *payload) reader() io.Reader {
	if p.rest == nil {
		if len(p.head) == 0 {
			return nil
		}
		return bytes.NewReader(p.head)
	}
	return io.MultiReader(bytes.NewReader(p.head), p.rest)
}

// contentLength returns the length to announce to the worker, or -1 for a
// chunked body.
func (p *payload) contentLength() int64 {
	switch {
	case p.rest != nil:
		return p.length
	case len(p.trailer) > 0:
		return -1
	default:
		return int64(len(p.head))
	}
}

// readPayload reads the head of a request's body. With all set it reads the
// whole body, since the fingerprint of an at-most-once request covers all of
// it.
func (f *Forwarder) readPayload(r *http.Request, body *upload, all bool) (*payload, error) {
	limit := int64(f.settings.MaxBody)
	if r.ContentLength > limit {
		return nil, classifier.New(classifier.TooLarge, "the body has %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	wanted := int64(bodyHeadSize)
	if all {
		wanted = limit
	}
	if r.ContentLength >= 0 {
		wanted = min(wanted, r.ContentLength)
	}
	p := &payload{length: r.ContentLength, trailer: r.Trailer, reserved: wanted, memory: f.bodyMemory}
	if !f.bodyMemory.reserve(wanted) {
		return nil, classifier.New(classifier.QueueFull, "the bodies of waiting requests take all the room")
	}
	// One byte more than wanted shows whether the body goes on.
	head, err := io.ReadAll(io.LimitReader(body, wanted+1))
	if err != nil {
		p.release()
		return nil, bodyError(err)
	}
	p.head = head
	if int64(len(head)) > wanted {
		p.rest = body
	}
	return p, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return classifier.New(classifier.TooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(classifier.CallerGone, err, "the body has stalled")
	default:
		return classifier.Wrap(classifier.CallerGone, err, "the body ended early")
	}
}
