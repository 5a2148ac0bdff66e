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
	rt        *rapid.T
	jobCount  int
	basicJobs bool // no urgent jobs, gangs or jobs that can be checkpointed
}

func (h *history) draw(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(h.rt, label)
}

func (h *history) size() modeler.Resources {
	return modeler.Resources{
		Processors:   modeler.Millicores(rapid.IntRange(1, 9000).Draw(h.rt, "millicores")),
		Memory:       modeler.Bytes(rapid.Int64Range(1, int64(17*gib)).Draw(h.rt, "bytes")),
		Accelerators: modeler.Accelerators(max(0, h.draw("accelerators", 6)-3)),
	}
}

func (h *history) addJob() {
	h.jobCount++
	kinds := []modeler.JobKind{modeler.Batch, modeler.LongRunning, modeler.Gang}
	if h.basicJobs {
		kinds = kinds[:2]
	}
	j := modeler.Job{
		ID:    modeler.JobID(fmt.Sprintf("j%d", h.jobCount)),
		Team:  modeler.TeamName(fmt.Sprintf("t%d", h.draw("team", len(h.teams)))),
		Kind:  kinds[h.draw("kind", len(kinds))],
		Tasks: 1 + h.draw("tasks", 6),
		Size:  h.size(),
	}
	if !h.basicJobs {
		j.Urgent = h.draw("urgent", 5) == 0
		j.Checkpoint = h.draw("checkpoint", 2) == 0
	}
	switch h.draw("where", 6) {
	case 0:
		j.Constraint.Domains = []modeler.DomainName{modeler.DomainName(fmt.Sprintf("d%d", h.draw("domain", 3)))}
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
		Capacity:   res(int64(4000*(1+h.draw("cores", 3))), int64(8*(1+h.draw("gibs", 3))), int64(2*h.draw("cards", 2))),
		Leaving:    h.draw("leaving", 12) == 0,
	}
	if h.draw("label", 2) == 0 {
		w.Labels = []string{"ssd"}
	}
	h.worker(w)
}

// drawTask returns a random running task, if there is any.
func (h *history) drawTask() (modeler.TaskID, bool) {
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
	return ids[h.draw("task", len(ids))], true
}

func (h *history) endRandomTask() {
	id, ok := h.drawTask()
	if !ok {
		return
	}
	switch {
	case h.orders[id] == modeler.StopTask:
		h.endTask(id, modeler.TaskStopped, false)
	case h.orders[id] == modeler.CheckpointTask:
		h.endTask(id, modeler.TaskCheckpointed, h.isLive(id.Job))
	case !h.basicJobs && h.draw("fails", 4) == 0:
		h.endTask(id, modeler.TaskFailed, h.isLive(id.Job))
	default:
		h.endTask(id, modeler.TaskDone, false)
	}
}

func (h *history) cancelRandomJob() {
	id := modeler.JobID(fmt.Sprintf("j%d", 1+h.draw("cancel", h.jobCount+1)))
	if h.isLive(id) {
		h.cancel(id)
		delete(h.jobs, id)
	}
}

func (h *history) randomStep() {
	worker := func() int { return h.draw("worker", 8) }
	switch h.draw("step", 12) {
	case 0, 1, 2:
		h.addJob()
	case 3, 4, 5:
		h.endRandomTask()
	case 6:
		h.cancelRandomJob()
	case 7:
		id := worker()
		old := h.workers[modeler.WorkerID(fmt.Sprintf("w%d", id))]
		h.addWorker(id, old.Generation+1)
	case 8:
		if id := modeler.WorkerID(fmt.Sprintf("w%d", worker())); h.workers[id].ID != "" {
			h.loseWorker(id)
		}
	case 9:
		h.endLost()
	case 10:
		if id, ok := h.drawTask(); ok && !h.basicJobs {
			size := h.held[id].job.Size
			h.reportUsage(id, size.Times(int64(h.draw("usage", 3))))
		}
	case 11:
		h.advance(time.Duration(h.draw("pass", 20)) * time.Second)
	}
}

func newHistory(rt *rapid.T, settings placer.Settings, basicJobs bool) *history {
	h := &history{model: newModel(rt, settings), rt: rt, basicJobs: basicJobs}
	quota := res(1<<20, 1<<20, 1<<10)
	for i := range 3 {
		if !basicJobs {
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

// TestRandomHistories guards against decisions that exceed a worker's capacity
// or a team's quota, run a task twice at a time, split a gang or violate a
// constraint. Workers are lost and restart, jobs are cancelled, and there is
// preemption, reclaimed room and quarantine. At the end every job that can run
// must have run.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, placer.Settings{ReservationDelay: 5 * time.Second, MinUsageReports: 2}, false)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.randomStep()
			h.decide(1 + h.draw("max", 8))
		}
		h.finishAll()
	})
}

// finishAll lets all tasks run to their end with all workers present, and checks
// that no job waits that could run.
func (h *history) finishAll() {
	for id, w := range h.workers {
		w.Leaving = false
		h.worker(placer.Worker{
			ID: id, Generation: w.Generation, Region: w.Region, Domain: w.Domain,
			Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity,
		})
	}
	for range 600 {
		h.advance(2 * time.Second)
		h.endLost()
		ids := make([]modeler.TaskID, 0, len(h.held))
		for id := range h.held {
			ids = append(ids, id)
		}
		for _, id := range ids {
			again := h.orders[id] == modeler.CheckpointTask && h.isLive(id.Job)
			h.endTask(id, modeler.TaskDone, again)
		}
		h.decide(1000)
	}
	for id, n := range h.waiting {
		if n > 0 && h.p.Check(h.jobs[id]) == nil {
			h.t.Fatalf("job %+v still has %d waiting tasks: %s", h.jobs[id], n, h.p.ExplainWait(id))
		}
	}
	h.checkEmpty()
}

// checkEmpty ends all tasks and checks that the placer counts no resources as
// allocated, and that a gang which needs the whole cell starts at once.
func (h *history) checkEmpty() {
	for id := range h.held {
		h.endTask(id, modeler.TaskDone, false)
	}
	for id := range h.waiting {
		h.cancel(id)
	}
	h.decide(1000)
	stats := h.p.Stats()
	held := stats.Declared.Add(stats.Reclaimed).Add(stats.Estimate)
	if held != (modeler.Resources{}) || stats.Running != 0 || stats.Waiting != 0 {
		h.t.Fatalf("the cell has no tasks, but its summary is %+v", stats)
	}
	gang := modeler.Job{ID: "full", Team: "full", Kind: modeler.Gang, Size: res(1000, 1, 0)}
	for _, w := range h.workers {
		gang.Tasks += int(min(int64(w.Capacity.Processors)/1000, int64(w.Capacity.Memory/gib)))
	}
	h.team("full", unlimited, 1, modeler.Pack)
	h.submit(gang)
	if n := len(h.decide(1000)); n != gang.Tasks {
		h.t.Fatalf("%d of %d tasks of the gang started in an empty cell: %s", n, gang.Tasks, h.p.ExplainWait("full"))
	}
}

// TestNoTaskWaitsWithRoom guards against a task that waits although a worker has
// room for it.
func TestNoTaskWaitsWithRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, placer.Settings{ReservationDelay: 1000 * time.Hour}, true)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.randomStep()
			h.decide(1 << 20)
			h.checkExact()
		}
	})
}

// TestOnlyFittingWorkerIsFound guards against a search that stops before it
// comes to the only worker with room, since many workers without room share a
// bucket with it.
func TestOnlyFittingWorkerIsFound(t *testing.T) {
	for _, policy := range []modeler.Policy{modeler.Spread, modeler.Pack} {
		for only := range 100 {
			m := newModel(t, placer.Settings{})
			m.addWorkers(300, 1, res(3999, 16, 0))
			m.team("a", unlimited, 1, policy)
			id := modeler.WorkerID(fmt.Sprintf("w%d", 3*only))
			w := m.workers[id]
			w.Capacity = res(4000, 16, 0)
			m.worker(w)
			m.submit(modeler.Job{ID: "j", Team: "a", Kind: modeler.Batch, Tasks: 1, Size: res(4000, 8, 0)})
			decisions := m.decide(1)
			if len(decisions) != 1 || decisions[0].Placement.Worker != id {
				t.Fatalf("policy %s: decisions are %v, want a placement on worker %s", policy, decisions, id)
			}
		}
	}
}
