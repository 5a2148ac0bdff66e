package placer_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"pgregory.net/rapid"
)

// history drives a model with random steps.
type history struct {
	*model
	rt    *rapid.T
	count int
	plain bool // no urgent, checkpointable or gang work
}

func (h *history) pick(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(h.rt, label)
}

func (h *history) size() modeler.Resources {
	return modeler.Resources{
		Processors:   modeler.Millicores(rapid.IntRange(1, 9000).Draw(h.rt, "millicores")),
		Memory:       modeler.Bytes(rapid.Int64Range(1, int64(17*gib)).Draw(h.rt, "bytes")),
		Accelerators: modeler.Accelerators(max(0, h.pick("accelerators", 6)-3)),
	}
}

func (h *history) addJob() {
	h.count++
	kinds := []modeler.JobKind{modeler.Batch, modeler.LongRunning, modeler.Gang}
	if h.plain {
		kinds = kinds[:2]
	}
	j := modeler.Job{
		ID:    modeler.JobID(fmt.Sprintf("j%d", h.count)),
		Team:  modeler.TeamName(fmt.Sprintf("t%d", h.pick("team", len(h.teams)))),
		Kind:  kinds[h.pick("kind", len(kinds))],
		Tasks: 1 + h.pick("tasks", 6),
		Size:  h.size(),
	}
	if !h.plain {
		j.Urgent = h.pick("urgent", 5) == 0
		j.Checkpoint = h.pick("checkpoint", 2) == 0
	}
	switch h.pick("where", 6) {
	case 0:
		j.Constraint.Domains = []modeler.DomainName{modeler.DomainName(fmt.Sprintf("d%d", h.pick("domain", 3)))}
	case 1:
		j.Constraint.Labels = []string{"ssd"}
	case 2:
		j.Constraint.Racks = []modeler.RackName{"d0-r0", "d1-r0"}
	}
	h.submit(j)
}

func (h *history) addWorker(id int, generation modeler.Generation) {
	w := placer.Worker{
		ID:         modeler.WorkerID(fmt.Sprintf("w%d", id)),
		Generation: generation,
		Region:     "north",
		Domain:     modeler.DomainName(fmt.Sprintf("d%d", id%3)),
		Rack:       modeler.RackName(fmt.Sprintf("d%d-r%d", id%3, id/6)),
		Capacity:   res(int64(4000*(1+h.pick("cores", 3))), int64(8*(1+h.pick("gibs", 3))), int64(2*h.pick("cards", 2))),
		Leaving:    h.pick("leaving", 12) == 0,
	}
	if h.pick("label", 2) == 0 {
		w.Labels = []string{"ssd"}
	}
	h.worker(w)
}

// task returns a held task, if any.
func (h *history) task() (modeler.TaskID, bool) {
	ids := make([]modeler.TaskID, 0, len(h.held))
	for id := range h.held {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return modeler.TaskID{}, false
	}
	sort.Slice(ids, func(i, k int) bool {
		if ids[i].Job != ids[k].Job {
			return ids[i].Job < ids[k].Job
		}
		return ids[i].Index < ids[k].Index
	})
	return ids[h.pick("task", len(ids))], true
}

func (h *history) endSome() {
	id, ok := h.task()
	if !ok {
		return
	}
	switch {
	case h.orders[id] == modeler.StopTask:
		h.end(id, modeler.TaskStopped, false)
	case h.orders[id] == modeler.CheckpointTask:
		h.end(id, modeler.TaskCheckpointed, h.live(id.Job))
	case !h.plain && h.pick("fails", 4) == 0:
		h.end(id, modeler.TaskFailed, h.live(id.Job))
	default:
		h.end(id, modeler.TaskDone, false)
	}
}

func (h *history) cancelSome() {
	id := modeler.JobID(fmt.Sprintf("j%d", 1+h.pick("cancel", h.count+1)))
	if h.live(id) {
		h.cancel(id)
		delete(h.jobs, id)
	}
}

func (h *history) step() {
	worker := func() int { return h.pick("worker", 8) }
	switch h.pick("step", 12) {
	case 0, 1, 2:
		h.addJob()
	case 3, 4, 5:
		h.endSome()
	case 6:
		h.cancelSome()
	case 7:
		id := worker()
		old := h.workers[modeler.WorkerID(fmt.Sprintf("w%d", id))]
		h.addWorker(id, old.Generation+1)
	case 8:
		if id := modeler.WorkerID(fmt.Sprintf("w%d", worker())); h.workers[id].ID != "" {
			h.lose(id)
		}
	case 9:
		h.endLost()
	case 10:
		if id, ok := h.task(); ok && !h.plain {
			size := h.held[id].job.Size
			h.report(id, size.Times(int64(h.pick("usage", 3))))
		}
	case 11:
		h.pass(time.Duration(h.pick("pass", 20)) * time.Second)
	}
}

func newHistory(rt *rapid.T, settings placer.Settings, plain bool) *history {
	h := &history{model: newModel(rt, settings), rt: rt, plain: plain}
	quota := res(1<<20, 1<<20, 1<<10)
	for i := range 3 {
		if !plain {
			quota = res(int64(8000*(1+i)), int64(32*(1+i)), 4)
		}
		policy := []modeler.Policy{modeler.Spread, modeler.Pack}[i%2]
		h.team(modeler.TeamName(fmt.Sprintf("t%d", i)), quota, 1+i, policy)
	}
	for i := range 5 {
		h.addWorker(i, 1)
	}
	return h
}

// TestRandomHistories guards against a worker given more than its capacity, a
// task in two places, a split gang, an exceeded quota and a broken constraint,
// with lost and restarted workers, cancellations, preemption, reclaimed room
// and quarantine. At the end everything that can run must have run.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, placer.Settings{Patience: 5 * time.Second, Settle: 2}, false)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.step()
			h.decide(1 + h.pick("max", 8))
		}
		h.drain()
	})
}

// drain lets everything run to its end on the workers there are.
func (h *history) drain() {
	for id, w := range h.workers {
		w.Leaving = false
		h.worker(placer.Worker{
			ID: id, Generation: w.Generation, Region: w.Region, Domain: w.Domain,
			Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity,
		})
	}
	for range 600 {
		h.pass(2 * time.Second)
		h.endLost()
		ids := make([]modeler.TaskID, 0, len(h.held))
		for id := range h.held {
			ids = append(ids, id)
		}
		for _, id := range ids {
			again := h.orders[id] == modeler.CheckpointTask && h.live(id.Job)
			h.end(id, modeler.TaskDone, again)
		}
		h.decide(1000)
	}
	for id, n := range h.waiting {
		if n > 0 && h.p.Check(h.jobs[id]) == nil {
			h.t.Fatalf("job %+v still waits for %d tasks: %s", h.jobs[id], n, h.p.Why(id))
		}
	}
	h.checkEmpty()
}

// checkEmpty checks that an empty cell counts nothing as held, and that a gang
// which fills it starts at once.
func (h *history) checkEmpty() {
	for id := range h.held {
		h.end(id, modeler.TaskDone, false)
	}
	for id := range h.waiting {
		h.cancel(id)
	}
	h.decide(1000)
	stats := h.p.Stats()
	held := stats.Declared.Add(stats.Reclaimed).Add(stats.Estimate)
	if held != (modeler.Resources{}) || stats.Running != 0 || stats.Waiting != 0 {
		h.t.Fatalf("an empty cell holds %+v", stats)
	}
	gang := modeler.Job{ID: "full", Team: "full", Kind: modeler.Gang, Size: res(1000, 1, 0)}
	for _, w := range h.workers {
		gang.Tasks += int(min(int64(w.Capacity.Processors)/1000, int64(w.Capacity.Memory/gib)))
	}
	h.team("full", plenty, 1, modeler.Pack)
	h.submit(gang)
	if n := len(h.decide(1000)); n != gang.Tasks {
		h.t.Fatalf("%d of %d tasks fit an empty cell: %s", n, gang.Tasks, h.p.Why("full"))
	}
}

// TestExact guards against a task that waits although a worker has room.
func TestExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, placer.Settings{Patience: 1000 * time.Hour}, true)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.step()
			h.decide(1 << 20)
			h.checkExact()
		}
	})
}

// TestExactEdge guards against a search that gives up before it comes to the
// only worker with room among many that share a bucket with it.
func TestExactEdge(t *testing.T) {
	for _, policy := range []modeler.Policy{modeler.Spread, modeler.Pack} {
		for only := range 100 {
			m := newModel(t, placer.Settings{})
			m.cell(300, 1, res(3999, 16, 0))
			m.team("a", plenty, 1, policy)
			id := modeler.WorkerID(fmt.Sprintf("w%d", 3*only))
			w := m.workers[id]
			w.Capacity = res(4000, 16, 0)
			m.worker(w)
			m.submit(modeler.Job{ID: "j", Team: "a", Kind: modeler.Batch, Tasks: 1, Size: res(4000, 8, 0)})
			decisions := m.decide(1)
			if len(decisions) != 1 || decisions[0].Placement.Worker != id {
				t.Fatalf("%s: %v, not on %s", policy, decisions, id)
			}
		}
	}
}
