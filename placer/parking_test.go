package placer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

// TestParkedJobsOfManyTeams guards against a parked job that is not placed when
// a worker has just enough room for it and for no other job. Many teams have
// many parked jobs each, of sizes that differ little from the room.
func TestParkedJobsOfManyTeams(t *testing.T) {
	const teams, perTeam = 21, 40
	m := newModel(t, placer.Settings{})
	m.addWorkers(1, 1, res(1<<20, 1<<10, 0))
	m.team("full", unlimited, 1, modeler.Spread)
	m.submit(modeler.Job{ID: "full", Team: "full", Kind: modeler.Batch, Tasks: 1, Size: res(1<<20, 1<<10, 0)})
	m.decide(1)
	// Jobs with more processors need less memory, so no job fits into the room
	// of another.
	size := func(i int) modeler.Resources {
		return modeler.Resources{Processors: modeler.Millicores(1000 + i), Memory: modeler.Bytes(2000-i) * gib / 64}
	}
	for i := range teams * perTeam {
		team := modeler.TeamName(fmt.Sprintf("t%d", i%teams))
		m.team(team, unlimited, 1, modeler.Spread)
		m.submit(modeler.Job{ID: modeler.JobID(fmt.Sprintf("j%d", i)), Team: team, Kind: modeler.Batch, Tasks: 1, Size: size(i)})
		m.decide(1)
	}
	for i := range teams * perTeam {
		w := m.workers["w0"]
		w.Capacity = res(1<<20, 1<<10, 0).Add(size(i))
		m.worker(w)
		decisions := m.decide(1)
		if len(decisions) != 1 || decisions[0].Placement.Task.Job != modeler.JobID(fmt.Sprintf("j%d", i)) {
			t.Fatalf("decisions are %v, want a placement of job %d", decisions, i)
		}
		m.endTask(decisions[0].Placement.Task, modeler.TaskDone, false)
		w.Capacity = res(1<<20, 1<<10, 0)
		m.worker(w)
	}
}

// TestPackAllDimensions guards against a best fit by processors only, which
// would choose the worker on which much memory becomes unusable.
func TestPackAllDimensions(t *testing.T) {
	m := newModel(t, placer.Settings{})
	for id, capacity := range map[modeler.WorkerID]modeler.Resources{"memory": res(8500, 64, 0), "even": res(12500, 7, 0)} {
		m.worker(placer.Worker{ID: id, Generation: 1, Region: "north", Domain: "d", Rack: "r", Capacity: capacity})
	}
	m.team("a", unlimited, 1, modeler.Pack)
	m.submit(modeler.Job{ID: "j", Team: "a", Kind: modeler.Batch, Tasks: 1, Size: res(4000, 4, 0)})
	decisions := m.decide(1)
	if len(decisions) != 1 || decisions[0].Placement.Worker != "even" {
		t.Fatalf("%v", decisions)
	}
}

// TestCheckpointSuffices guards against checkpoints that free too little room
// for the urgent task. When the checkpointed tasks have ended, the urgent task
// must start on their worker.
func TestCheckpointSuffices(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, placer.Settings{}, false)
		h.team("a", unlimited, 1, modeler.Pack)
		for i := range 60 {
			h.submit(modeler.Job{
				ID: modeler.JobID(fmt.Sprintf("old%d", i)), Team: "a", Kind: modeler.Batch, Tasks: 1, Size: h.size(),
				Checkpoint: h.draw("checkpoint", 4) > 0,
			})
		}
		h.decide(1000)
		urgent := modeler.Job{ID: "urgent", Team: "a", Kind: modeler.Batch, Tasks: 1, Size: h.size(), Urgent: true}
		if !h.submit(urgent) {
			return
		}
		var ended modeler.WorkerID
		for _, d := range h.decide(1000) {
			if d.Verb == modeler.CheckpointTask {
				ended = d.Placement.Worker
				h.endTask(d.Placement.Task, modeler.TaskCheckpointed, true)
			}
		}
		if ended == "" {
			return
		}
		for _, d := range h.decide(1000) {
			if d.Placement.Task.Job == urgent.ID && d.Placement.Worker == ended {
				return
			}
		}
		rt.Fatalf("the urgent job waits (%s) after checkpoints on worker %s", h.p.ExplainWait(urgent.ID), ended)
	})
}
