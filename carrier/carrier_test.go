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

// sent hands over one order for each worker and returns where each went.
func sent(c *carrier.Carrier, now modeler.ClockReading, workers int) (map[modeler.WorkerID]modeler.EntrySession, []carrier.Batch) {
	for w := range workers {
		c.Send(now, order(w))
	}
	to := make(map[modeler.WorkerID]modeler.EntrySession)
	batches := c.Take(now)
	for _, b := range batches {
		for _, o := range b.Orders {
			to[o.Order.Worker] = b.To
		}
	}
	return to, batches
}

// Guards against a share of the workers that one process can't carry, and
// against a change of one process that moves the workers of the others: each
// worker that moves is met over new connections.
func TestShares(t *testing.T) {
	c := carrier.New(3)
	assert.Assert(t, !c.Send(0, order(1)), "an order was taken without a process to carry it")
	const processes, workers = 8, 1100
	for n := range processes {
		c.Up(session(n))
	}
	before, batches := sent(c, 0, workers)
	assert.Equal(t, len(before), workers)
	assert.Equal(t, len(batches), processes)
	for _, b := range batches {
		assert.Assert(t, len(b.Orders) < 2*workers/processes, "%s carries %d of %d workers", b.To.Entry, len(b.Orders), workers)
	}
	lost := c.Down(session(5))
	after, _ := sent(c, modeler.ClockReading(time.Second), workers)
	assert.Equal(t, len(after), workers)
	moved := 0
	for worker, to := range before {
		if to == session(5) {
			moved++
			continue
		}
		assert.Equal(t, after[worker], to)
	}
	assert.Equal(t, len(lost), moved)
}

// Guards against an order whose fate is told twice, or never: the answer, the
// loss of the process and the timeout each end it, whichever comes first.
func TestOneFateEach(t *testing.T) {
	c := carrier.New(7)
	c.Up(session(1))
	assert.Assert(t, c.Send(0, order(1)) && c.Send(0, order(2)) && c.Send(0, order(3)))
	batch := c.Take(0)[0].Orders
	assert.Equal(t, c.Flying(), 3)

	o, took, found := c.Answered(modeler.ClockReading(10*time.Millisecond), batch[0].Number, modeler.OrderAccepted)
	assert.Assert(t, found)
	assert.Equal(t, o.Worker, batch[0].Order.Worker)
	assert.Equal(t, took, 10*time.Millisecond)
	_, _, found = c.Answered(0, batch[0].Number, modeler.OrderAccepted)
	assert.Assert(t, !found, "an answer counted twice")

	assert.Equal(t, len(c.Expire(modeler.ClockReading(time.Second))), 0)
	assert.Equal(t, len(c.Expire(modeler.ClockReading(3*time.Second))), 2)
	_, _, found = c.Answered(0, batch[1].Number, modeler.OrderAccepted)
	assert.Assert(t, !found, "an order that was given up has an answer")
	assert.Equal(t, len(c.Down(session(1))), 0)
}

// Guards against an answer to an earlier term's order that is taken for that of
// another one, when the same process leads again.
func TestNumbersOfTerms(t *testing.T) {
	former, next := carrier.New(7), carrier.New(9)
	for _, c := range []*carrier.Carrier{former, next} {
		c.Up(session(1))
		assert.Assert(t, c.Send(0, order(1)))
	}
	_, _, found := next.Answered(0, former.Take(0)[0].Orders[0].Number, modeler.OrderAccepted)
	assert.Assert(t, !found)
}

// Guards against a message for each order: the leader of a large cell sends
// thousands in a second.
func TestBatches(t *testing.T) {
	c := carrier.New(1)
	c.Up(session(1))
	messages := 0
	for at := time.Duration(0); at < time.Second; at += time.Millisecond {
		for w := range 4 {
			c.Send(modeler.ClockReading(at), order(w))
		}
		messages += len(c.Take(modeler.ClockReading(at)))
	}
	assert.Assert(t, messages <= 100, "%d messages for 4,000 orders", messages)
}

// Guards against a worker that is taken for silent, and its tasks for lost,
// because the path from one process to it is cut or a link to that process is
// held up.
func TestAnotherProcessReachesTheWorker(t *testing.T) {
	for name, fail := range map[string]func(c *carrier.Carrier, number modeler.Sequence){
		"silent": func(c *carrier.Carrier, n modeler.Sequence) { c.Answered(0, n, modeler.OrderUnanswered) },
		"unsent": func(c *carrier.Carrier, n modeler.Sequence) { c.Answered(0, n, modeler.OrderUnsent) },
		"no answer": func(c *carrier.Carrier, _ modeler.Sequence) {
			c.Expire(modeler.ClockReading(3 * time.Second))
		},
	} {
		c := carrier.New(3)
		for n := range 4 {
			c.Up(session(n))
		}
		before, batches := sent(c, 0, 50)
		for _, b := range batches {
			for _, o := range b.Orders {
				fail(c, o.Number)
			}
		}
		after, _ := sent(c, modeler.ClockReading(4*time.Second), 50)
		for worker, to := range before {
			assert.Check(t, after[worker] != to, "%s: %s is still reached through %s", name, worker, to.Entry)
		}
	}
}

// Guards against an order that is sent again behind the first one, which is held
// up on its way, and against workers that change hands without need.
func TestRepeatedOrdersTakeAnotherWay(t *testing.T) {
	c := carrier.New(3)
	for n := range 4 {
		c.Up(session(n))
	}
	before, _ := sent(c, 0, 50)
	for w := range 50 {
		o := order(w)
		o.Repeated = true
		c.Send(0, o)
	}
	for _, b := range c.Take(modeler.ClockReading(time.Second)) {
		for _, o := range b.Orders {
			assert.Check(t, b.To != before[o.Order.Worker], "%s", o.Order.Worker)
			c.Answered(0, o.Number, modeler.OrderAccepted)
		}
	}
	after, _ := sent(c, modeler.ClockReading(2*time.Second), 50)
	assert.DeepEqual(t, after, before)
}

// Guards against ends that are heard late because the process that would have
// passed them on has stopped: a step waits for its slowest task, and the link is
// closed only after a second. A leader that has heard nobody was late itself.
func TestQuietProcessIsPassedOver(t *testing.T) {
	c := carrier.New(3)
	for n := range 4 {
		c.Up(session(n))
	}
	silence := map[modeler.EntrySession]time.Duration{}
	watch := func() int {
		return len(c.Watch(func(s modeler.EntrySession) time.Duration { return silence[s] }))
	}
	before, _ := sent(c, 0, 50)
	assert.Equal(t, watch(), 0)
	silence[session(2)] = 450 * time.Millisecond
	carried := 0
	for _, to := range before {
		if to == session(2) {
			carried++
		}
	}
	assert.Equal(t, watch(), carried)
	assert.Equal(t, watch(), 0, "orders were given up twice")
	after, _ := sent(c, modeler.ClockReading(time.Second), 50)
	for worker, to := range after {
		assert.Check(t, to != session(2))
		assert.Check(t, before[worker] == session(2) || to == before[worker], "%s changed hands", worker)
	}
	silence[session(2)] = 10 * time.Millisecond
	watch()
	again, _ := sent(c, modeler.ClockReading(2*time.Second), 50)
	assert.DeepEqual(t, again, before)
	for n := range 4 {
		silence[session(n)] = 450 * time.Millisecond
	}
	assert.Equal(t, watch(), 0, "the leader's own silence was taken for that of others")
	assert.Equal(t, c.Ready(), 4)
}
