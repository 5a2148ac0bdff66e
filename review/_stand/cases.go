package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// startSystem starts a cell of five control and two entry processes, with the
// given workers and configuration, and waits as long as the traffic of a day does.
func startSystem(r *run, services []string, queues []queue, workers func() []*worker) []*worker {
	c := startCell(r, 5, 2)
	list := workers()
	c.configure(1, services, queues)
	time.Sleep(time.Until(r.began.Add(10 * time.Second)))
	if c.leader() == nil {
		r.cannot("no leader after 10 s")
	}
	return list
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// foreignHeartbeat sends one heartbeat of another writer: its service is not named
// in the configuration, and its address is that of a worker.
func foreignHeartbeat(r *run) {
	r.ledger.duration = func(*worker, string, step) (time.Duration, bool) { return 8 * time.Second, false }
	workers := startSystem(r, []string{"desk"}, []queue{{"/batch/", "desk", 0, 3}}, func() (list []*worker) {
		for i := range 6 {
			list = append(list, startWorker(r, fmt.Sprintf("i-%d", i+1), "desk", fmt.Sprintf("r1-%d", i+1), 32000, 65536))
		}
		return list
	})
	job := jobID(1)
	r.cell.submit("/batch/", job, step{Count: 6, CPU: 16000, MemMB: 4096, EstimatedMS: 8000})
	if !await(5*time.Second, func() bool { return r.ledger.running(job) == 6 }) {
		r.cannot("the tasks do not start")
	}
	time.Sleep(time.Second)
	if r.trouble {
		victim := busiest(workers)
		body, err := json.Marshal(map[string]any{
			"service": "node-agent", "address": victim.address, "zone": victim.zone, "version": "v1", "slots": 1, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 1000, "mem_mb": 1024, "gpu": 0}, "labels": []string{"a", victim.rack},
			"clock_ms": 1000, "sequence": 1, "born": time.Now().UnixMilli() - 1000,
		})
		r.require(err, "heartbeat")
		_, ok := beat(&http.Client{Timeout: time.Second}, r.cell.controls[0].at(controlPort), "agent-1", body)
		r.note("heartbeat of agent-1, service node-agent, address of %s: acknowledged %v", victim.id, ok)
	}
	await(30*time.Second, func() bool { return r.cell.state("/batch/", job) == "completed" })
	r.note("state of the job: %s", r.cell.state("/batch/", job))
	r.ledger.checkRestarts()
}

func busiest(workers []*worker) *worker {
	var found *worker
	most := -1
	for _, w := range workers {
		w.mu.Lock()
		n := len(w.runs)
		w.mu.Unlock()
		if n > most {
			found, most = w, n
		}
	}
	return found
}

// manyEnds kills all control processes while a worker's many small tasks end.
func manyEnds(r *run) {
	const jobs, width = 38, 40
	r.ledger.duration = func(*worker, string, step) (time.Duration, bool) { return 6 * time.Second, false }
	startSystem(r, []string{"desk"}, []queue{{"/batch/", "desk", 0, 3}}, func() (list []*worker) {
		for i := range 6 {
			list = append(list, startWorker(r, fmt.Sprintf("i-%d", i+1), "desk", fmt.Sprintf("r1-%d", i+1), 32000, 65536))
		}
		return list
	})
	for i := range jobs {
		r.cell.submit("/batch/", jobID(i+1), step{Count: width, CPU: 20, MemMB: 16, EstimatedMS: 6000})
	}
	if !await(20*time.Second, func() bool { return r.ledger.running("") == jobs*width }) {
		r.cannot("the tasks do not start in time: %d run, %d done", r.ledger.running(""), r.ledger.doneTasks(""))
	}
	r.note("all tasks run")
	await(20*time.Second, func() bool { return r.ledger.doneTasks("") > 0 })
	r.note("the first task has ended")
	if r.trouble {
		for _, p := range r.cell.controls {
			go r.cell.kill(p)
		}
		time.Sleep(ms(2500))
		for _, p := range r.cell.controls {
			r.cell.kill(p)
			r.cell.start(p, false)
		}
	}
	completed := 0
	for i := range jobs {
		if await(30*time.Second, func() bool { return r.cell.state("/batch/", jobID(i+1)) == "completed" }) {
			completed++
		}
	}
	r.note("%d of %d jobs completed, %d tasks done", completed, jobs, r.ledger.doneTasks(""))
	time.Sleep(time.Second)
	r.ledger.checkRestarts()
}

// lostCopy changes the leader while a worker that was cut off still runs a task
// whose copy has completed its job.
func lostCopy(r *run) {
	const slow, fast = 6 * time.Second, 2 * time.Second // remote_penalty is 3
	r.ledger.duration = func(w *worker, _ string, s step) (time.Duration, bool) {
		nominal := time.Duration(s.EstimatedMS) * time.Millisecond
		if s.DataRack != "" && s.DataRack != w.rack {
			return 3 * nominal, false
		}
		return nominal, false
	}
	workers := startSystem(r, []string{"desk"}, []queue{{"/batch/", "desk", 0, 3}}, func() (list []*worker) {
		for i := range 6 {
			w := newWorker(r, fmt.Sprintf("i-%d", i+1), "desk", fmt.Sprintf("r1-%d", i+1), 32000, 65536)
			w.link = &link{}
			w.serve()
			list = append(list, w)
		}
		return list
	})
	whole := func(rack string, estimated time.Duration) step {
		return step{Count: 1, CPU: 30000, MemMB: 4096, EstimatedMS: int(estimated.Milliseconds()), Requirements: rack}
	}
	for i := 3; i <= 6; i++ {
		r.cell.submit("/batch/", jobID(i), whole(fmt.Sprintf("r1-%d", i), 30*time.Second))
	}
	r.cell.submit("/batch/", jobID(2), whole("r1-2", 3*time.Second))
	if !await(2*time.Second, func() bool { return r.ledger.running(jobID(2)) == 1 && r.ledger.running(jobID(6)) == 1 }) {
		r.cannot("the other tasks do not start")
	}
	time.Sleep(2200 * time.Millisecond)
	copied := step{Count: 1, CPU: 30000, MemMB: 4096, EstimatedMS: int(fast.Milliseconds()), DataRack: "r1-2", Speculative: true}
	r.cell.submit("/batch/", jobID(1), copied)
	if !await(2*time.Second, func() bool { return r.ledger.running(jobID(1)) == 1 }) {
		r.cannot("the task does not start")
	}
	began := time.Now()
	first := workers[0]
	if !r.ledger.runsOn(jobID(1), first) {
		r.cannot("the task started elsewhere")
	}
	time.Sleep(ms(400))
	if r.trouble {
		first.link.setCut(true)
		r.note("%s is cut off", first.id)
	}
	r.cell.submit("/batch/", jobID(7), whole("r1-1", time.Second))
	if !await(6*time.Second, func() bool { return r.cell.state("/batch/", jobID(1)) == "completed" }) && r.trouble {
		r.cannot("the job of the copied task is not completed")
	}
	r.note("the job of the copied task is completed %s after its start", time.Since(began).Round(time.Millisecond))
	if r.trouble {
		if time.Since(began) > slow-1500*time.Millisecond {
			r.cannot("the copy ended too late")
		}
		leader := r.cell.leader()
		if leader == nil {
			r.cannot("no leader")
		}
		r.note("the leader %s is killed", leader.name)
		r.cell.kill(leader)
		time.Sleep(ms(300))
		first.link.setCut(false)
		r.note("%s is reached again", first.id)
		time.Sleep(ms(700))
		r.cell.start(leader, false)
	}
	await(15*time.Second, func() bool { return r.cell.state("/batch/", jobID(7)) == "completed" })
	r.note("state of the waiting job: %s", r.cell.state("/batch/", jobID(7)))
}

// greyService makes the only workers of one kind fail all that they start.
func greyService(r *run) {
	r.ledger.duration = func(*worker, string, step) (time.Duration, bool) { return 0, false }
	var special []*worker
	startSystem(r, []string{"desk"}, []queue{{"/batch/", "desk", 0, 3}, {"/watch/", "desk", 1, 3}}, func() []*worker {
		for i := range 22 {
			startWorker(r, fmt.Sprintf("i-%d", i+1), "desk", fmt.Sprintf("r1-%d", i/6+1), 32000, 65536)
		}
		for i := range 2 {
			w := newWorker(r, fmt.Sprintf("i-%d", i+23), "desk", "r1-4", 32000, 65536)
			w.kind = "b"
			w.serve()
			special = append(special, w)
		}
		return special
	})
	setFailing := func(failing bool) {
		for _, w := range special {
			w.mu.Lock()
			w.failing = failing
			w.mu.Unlock()
		}
		r.note("the 2 workers of kind b fail all that they start: %v", failing)
	}
	if r.trouble {
		setFailing(true)
	}
	const jobs, tasks, grey = 2, 3, 6500 * time.Millisecond
	began := time.Now()
	for i := range jobs {
		r.cell.submit("/watch/", jobID(i+1), step{Count: tasks, CPU: 4000, MemMB: 4096, EstimatedMS: 500, LongRunning: true, Requirements: "b"})
	}
	time.Sleep(time.Until(began.Add(grey)))
	if r.trouble {
		setFailing(false)
	}
	sound := time.Now()
	// The rule: 3 s without a run, those and the 4 s before them calm, and 6 s
	// after the last run of the task. The tasks take 24 of the 64 cores of their
	// kind, and of the 768 of the service.
	for time.Since(sound) < 40*time.Second {
		time.Sleep(ms(500))
		for i := range jobs {
			r.ledger.checkLasting(jobID(i+1), tasks, sound)
		}
	}
	for i := range jobs {
		r.note("job %s: %d of %d tasks at work, state %s", jobID(i+1), r.ledger.running(jobID(i+1)), tasks, r.cell.state("/watch/", jobID(i+1)))
	}
}

// wideJob hands one job with many tasks in, beside small ones.
func wideJob(r *run) {
	r.ledger.duration = func(_ *worker, _ string, s step) (time.Duration, bool) {
		return time.Duration(s.EstimatedMS) * time.Millisecond, false
	}
	startSystem(r, []string{"desk"}, []queue{{"/small/", "desk", 0, 3}, {"/batch/", "desk", 2, 3}}, func() (list []*worker) {
		for i := range 6 {
			list = append(list, startWorker(r, fmt.Sprintf("i-%d", i+1), "desk", fmt.Sprintf("r1-%d", i+1), 32000, 65536))
		}
		return list
	})
	const before, jobs, wide = 5, 25, 60_000
	var clients sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for i := range jobs {
		if i == before && r.trouble && !r.cell.trySubmit("/batch/", jobID(1000), 1, step{Count: wide, CPU: 100, MemMB: 100, EstimatedMS: 1000}) {
			r.cannot("the wide job is not accepted")
		}
		clients.Go(func() {
			// A client tries five times, at one node after the other.
			if id := jobID(i + 1); r.cell.trySubmit("/small/", id, 5, step{Count: 2, CPU: 2500, MemMB: 1000, EstimatedMS: 300}) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
		time.Sleep(time.Second)
	}
	clients.Wait()
	r.note("end of the traffic: %d of %d small jobs accepted", len(accepted), jobs)
	time.Sleep(14 * time.Second)
	r.note("finish_s after the end of the traffic the jobs are asked for")
	var checks sync.WaitGroup
	if r.trouble {
		checks.Go(func() { r.checkKnown("/batch/", jobID(1000)) })
	}
	for _, id := range accepted {
		checks.Go(func() { r.checkKnown("/small/", id) })
	}
	checks.Wait()
}

// checkKnown asks for a job that was accepted for up to 5 s, at all entry processes.
func (r *run) checkKnown(prefix, id string) {
	began, state := time.Now(), ""
	await(5*time.Second, func() bool {
		state = r.cell.state(prefix, id)
		return state != ""
	})
	r.note("GET %s%s -> %q after %s, %d of its tasks run, %d are done", prefix, id, state, time.Since(began).Round(time.Millisecond), r.ledger.running(id), r.ledger.doneTasks(id))
	if state == "" {
		r.violate("LOST job %s was accepted and gets no answer from any node; %d of its tasks run and %d are done", id, r.ledger.running(id), r.ledger.doneTasks(id))
	}
}
