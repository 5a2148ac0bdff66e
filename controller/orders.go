package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/supervisor"
)

const (
	// orderTimeout bounds the delivery of one order, so that a silent worker
	// doesn't delay other orders for long.
	orderTimeout = time.Second
	// orderQueueSize bounds the orders that wait for one worker.
	orderQueueSize = 256
	// orderIdleTimeout is how long a worker's goroutine waits for another order
	// before it ends.
	orderIdleTimeout = 5 * time.Second
	// reportLimit bounds a worker's answer to an order, which is one report, in
	// bytes.
	reportLimit = 64 << 10
)

// orderSender sends task orders to workers; each worker gets its orders in
// sequence.
type orderSender struct {
	post   func(context.Context, event) bool
	client *http.Client

	mu     sync.Mutex
	queues map[modeler.WorkerID]chan supervisor.Order
}

func newOrderSender(post func(context.Context, event) bool) *orderSender {
	dial := net.Dialer{Timeout: orderTimeout / 2}
	return &orderSender{
		post: post,
		client: &http.Client{
			Timeout: orderTimeout,
			// Orders are idempotent, so net/http may send one again. Without
			// keep-alive, no order is sent over a connection that has gone silent.
			Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true},
		},
		queues: make(map[modeler.WorkerID]chan supervisor.Order),
	}
}

func (s *orderSender) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// send queues an order for its worker. An order is dropped if the queue is
// full; the supervisor sends it again later.
func (s *orderSender) send(ctx context.Context, o supervisor.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, found := s.queues[o.Worker]
	if !found {
		queue = make(chan supervisor.Order, orderQueueSize)
		s.queues[o.Worker] = queue
		go s.serveWorker(ctx, o.Worker, queue)
	}
	select {
	case queue <- o:
	default:
	}
}

// serveWorker is the goroutine that sends the orders of one worker.
func (s *orderSender) serveWorker(ctx context.Context, id modeler.WorkerID, queue chan supervisor.Order) {
	timer := time.NewTimer(orderIdleTimeout)
	defer timer.Stop()
	for {
		timer.Reset(orderIdleTimeout)
		select {
		case o := <-queue:
			delivery, report := s.deliver(ctx, o)
			s.post(ctx, taskOrderDone{order: o, delivery: delivery, report: report})
		case <-timer.C:
			if s.removeIdleQueue(id, queue) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// removeIdleQueue removes a worker's queue; it reports false if an order was
// queued meanwhile.
func (s *orderSender) removeIdleQueue(id modeler.WorkerID, queue chan supervisor.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(s.queues, id)
	return true
}

// deliver sends one order and returns its outcome with the worker's report.
func (s *orderSender) deliver(ctx context.Context, o supervisor.Order) (supervisor.Delivery, modeler.TaskReport) {
	var report modeler.TaskReport
	body, err := json.Marshal(&o.Body)
	if err != nil {
		return supervisor.Unsent, report
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/tasks", bytes.NewReader(body))
	if err != nil {
		return supervisor.Unsent, report
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(request)
	if err != nil {
		return supervisor.Uncertain, report
	}
	defer answer.Body.Close()
	switch {
	case answer.StatusCode < 300:
		// A report that can't be decoded is ignored: the next heartbeat says the
		// same.
		if json.NewDecoder(io.LimitReader(answer.Body, reportLimit)).Decode(&report) != nil {
			report = modeler.TaskReport{}
		}
		return supervisor.Delivered, report
	case answer.StatusCode < 500:
		return supervisor.Refused, report
	default:
		return supervisor.Uncertain, report
	}
}
