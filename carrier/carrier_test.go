package carrier_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/carrier"
	"goldcreststack.example/goldcreststack/modeler"
)

func session(n int) modeler.EntrySession {
	return modeler.EntrySession{Entry: modeler.EntryID(fmt.Sprintf("control-%d", n)), Incarnation: 1}
}

func order(worker int) modeler.Order {
	return modeler.Order{
		Kind: modeler.StartOrder, Worker: modeler.WorkerID(fmt.Sprintf("worker-%d", worker)),
		Attempt: modeler.Attempt(worker), Timeout: 400 * time.Millisecond,
	}
}

// sendOrders sends one order to each worker and returns the process that got it
// by worker, with the batches.
func sendOrders(c *carrier.Carrier, now modeler.ClockReading, workers int) (map[modeler.WorkerID]modeler.EntrySession, []carrier.Batch) {
	for w := range workers {
		c.Enqueue(now, order(w))
	}
	processByWorker := make(map[modeler.WorkerID]modeler.EntrySession)
	batches := c.TakeBatches(now)
	for _, b := range batches {
		for _, o := range b.Orders {
			processByWorker[o.Order.Worker] = b.Process
		}
	}
	return processByWorker, batches
}

// TestShares guards against assigning one process more workers than it can
// serve, and against moving workers of other processes when one process leaves:
// each worker that moves needs new connections.
func TestShares(t *testing.T) {
	c := carrier.New(3)
	assert.Assert(t, !c.Enqueue(0, order(1)), "an order was accepted although no process is ready")
	const processes, workers = 8, 1100
	for n := range processes {
		c.AddProcess(session(n))
	}
	before, batches := sendOrders(c, 0, workers)
	assert.Equal(t, len(before), workers)
	assert.Equal(t, len(batches), processes)
	for _, b := range batches {
		assert.Assert(t, len(b.Orders) < 2*workers/processes, "%s carries %d of %d workers", b.Process.Entry, len(b.Orders), workers)
	}
	lost := c.RemoveProcess(session(5))
	after, _ := sendOrders(c, modeler.ClockReading(time.Second), workers)
	assert.Equal(t, len(after), workers)
	moved := 0
	for worker, process := range before {
		if process == session(5) {
			moved++
			continue
		}
		assert.Equal(t, after[worker], process)
	}
	assert.Equal(t, len(lost), moved)
}

// TestOneOutcomePerOrder guards against an order whose outcome is reported
// twice or never. The answer, the loss of the process and the timeout each end
// the order, whichever comes first.
func TestOneOutcomePerOrder(t *testing.T) {
	c := carrier.New(7)
	c.AddProcess(session(1))
	assert.Assert(t, c.Enqueue(0, order(1)) && c.Enqueue(0, order(2)) && c.Enqueue(0, order(3)))
	batch := c.TakeBatches(0)[0].Orders
	assert.Equal(t, c.PendingOrders(), 3)

	o, took, found := c.HandleAnswer(modeler.ClockReading(10*time.Millisecond), batch[0].Number, modeler.OrderAccepted)
	assert.Assert(t, found)
	assert.Equal(t, o.Worker, batch[0].Order.Worker)
	assert.Equal(t, took, 10*time.Millisecond)
	_, _, found = c.HandleAnswer(0, batch[0].Number, modeler.OrderAccepted)
	assert.Assert(t, !found, "an answer was counted twice")

	assert.Equal(t, len(c.Expire(modeler.ClockReading(time.Second))), 0)
	assert.Equal(t, len(c.Expire(modeler.ClockReading(3*time.Second))), 2)
	_, _, found = c.HandleAnswer(0, batch[1].Number, modeler.OrderAccepted)
	assert.Assert(t, !found, "an answer was counted for an order that had expired")
	assert.Equal(t, len(c.RemoveProcess(session(1))), 0)
}

// TestNumbersOfTerms guards against matching an answer to an order of an
// earlier term with an order of the current one, when the same process becomes
// leader again.
func TestNumbersOfTerms(t *testing.T) {
	former, next := carrier.New(7), carrier.New(9)
	for _, c := range []*carrier.Carrier{former, next} {
		c.AddProcess(session(1))
		assert.Assert(t, c.Enqueue(0, order(1)))
	}
	_, _, found := next.HandleAnswer(0, former.TakeBatches(0)[0].Orders[0].Number, modeler.OrderAccepted)
	assert.Assert(t, !found)
}

// TestBatches guards against sending one message per order: the leader of a
// large cell sends thousands of orders per second.
func TestBatches(t *testing.T) {
	c := carrier.New(1)
	c.AddProcess(session(1))
	messages := 0
	for at := time.Duration(0); at < time.Second; at += time.Millisecond {
		for w := range 4 {
			c.Enqueue(modeler.ClockReading(at), order(w))
		}
		messages += len(c.TakeBatches(modeler.ClockReading(at)))
	}
	assert.Assert(t, messages <= 100, "%d messages for 4,000 orders", messages)
}

// TestAnotherProcessReachesTheWorker guards against taking a worker for silent,
// and its tasks for lost, because the network path from one process to it is
// cut or the link to that process is delayed.
func TestAnotherProcessReachesTheWorker(t *testing.T) {
	for name, fail := range map[string]func(c *carrier.Carrier, number modeler.Sequence){
		"silent": func(c *carrier.Carrier, n modeler.Sequence) { c.HandleAnswer(0, n, modeler.OrderUnanswered) },
		"unsent": func(c *carrier.Carrier, n modeler.Sequence) { c.HandleAnswer(0, n, modeler.OrderUnsent) },
		"no answer": func(c *carrier.Carrier, _ modeler.Sequence) {
			c.Expire(modeler.ClockReading(3 * time.Second))
		},
	} {
		c := carrier.New(3)
		for n := range 4 {
			c.AddProcess(session(n))
		}
		before, batches := sendOrders(c, 0, 50)
		for _, b := range batches {
			for _, o := range b.Orders {
				fail(c, o.Number)
			}
		}
		after, _ := sendOrders(c, modeler.ClockReading(4*time.Second), 50)
		for worker, to := range before {
			assert.Check(t, after[worker] != to, "%s: %s is still reached through %s", name, worker, to.Entry)
		}
	}
}

// TestRepeatedOrdersTakeAnotherWay guards against sending a repeated order over
// the same connection as the first one, which may be held up, and against
// moving the worker to another process because of it.
func TestRepeatedOrdersTakeAnotherWay(t *testing.T) {
	c := carrier.New(3)
	for n := range 4 {
		c.AddProcess(session(n))
	}
	before, _ := sendOrders(c, 0, 50)
	for w := range 50 {
		o := order(w)
		o.Repeated = true
		c.Enqueue(0, o)
	}
	for _, b := range c.TakeBatches(modeler.ClockReading(time.Second)) {
		for _, o := range b.Orders {
			assert.Check(t, b.Process != before[o.Order.Worker], "%s", o.Order.Worker)
			c.HandleAnswer(0, o.Number, modeler.OrderAccepted)
		}
	}
	after, _ := sendOrders(c, modeler.ClockReading(2*time.Second), 50)
	assert.DeepEqual(t, after, before)
}

// TestQuietProcessIsPassedOver guards against task ends that reach the leader
// late because the process that forwards them has stopped: a step waits for its
// slowest task, and the link is closed only after a second. A leader that has
// heard from no process was delayed itself and must keep using them.
func TestQuietProcessIsPassedOver(t *testing.T) {
	c := carrier.New(3)
	for n := range 4 {
		c.AddProcess(session(n))
	}
	silence := map[modeler.EntrySession]time.Duration{}
	watch := func() int {
		return len(c.CheckSilence(func(s modeler.EntrySession) time.Duration { return silence[s] }))
	}
	before, _ := sendOrders(c, 0, 50)
	assert.Equal(t, watch(), 0)
	silence[session(2)] = 450 * time.Millisecond
	expected := 0
	for _, to := range before {
		if to == session(2) {
			expected++
		}
	}
	assert.Equal(t, watch(), expected)
	assert.Equal(t, watch(), 0, "orders were returned as lost twice")
	after, _ := sendOrders(c, modeler.ClockReading(time.Second), 50)
	for worker, to := range after {
		assert.Check(t, to != session(2))
		assert.Check(t, before[worker] == session(2) || to == before[worker], "%s moved to another process", worker)
	}
	silence[session(2)] = 10 * time.Millisecond
	watch()
	again, _ := sendOrders(c, modeler.ClockReading(2*time.Second), 50)
	assert.DeepEqual(t, again, before)
	for n := range 4 {
		silence[session(n)] = 450 * time.Millisecond
	}
	assert.Equal(t, watch(), 0, "the leader's own delay was taken for silence of the processes")
	assert.Equal(t, c.ReadyProcesses(), 4)
}
