package evaluator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// deliver carries out an order on its worker.
func (d *poolDay) deliver(o modeler.Order) {
	w := d.workerByID[o.Worker]
	term := d.term
	answer := func(a modeler.OrderAnswer) {
		a.Clock = d.clock()
		d.loop.After(d.settings.Network.Std(), func() {
			d.receive(term, func(leader *dispatcher.Dispatcher) {
				if o.Kind == modeler.RenewOrder {
					leader.HandleRenewalAnswer(d.now(), o, a)
				} else {
					leader.HandleOrderAnswer(d.now(), o, a)
				}
			})
		})
	}
	switch o.Kind {
	case modeler.RenewOrder:
		w.ended = slices.DeleteFunc(w.ended, func(e modeler.EndedAttempt) bool { return e.Number <= o.Cursor })
		open := true
		w.renewal = func() {
			if open {
				open = false
				answer(d.list(w))
			}
		}
		if len(w.ended) > 0 || o.Wait == 0 {
			w.renewal()
		} else {
			d.loop.After(o.Wait, w.renewal)
		}
	case modeler.StartOrder:
		answer(modeler.OrderAnswer{Outcome: d.start(w, o)})
	case modeler.StopOrder:
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if t := w.running[o.Task]; t != nil && t.attempt <= o.Attempt && !t.ending {
			d.preempted++
			t.ending = true
			d.loop.After(poolStop, func() { d.end(w, o.Task, t, modeler.EndStopped) })
		}
		answer(modeler.OrderAnswer{Outcome: modeler.OrderAccepted})
	default:
		answer(modeler.OrderAnswer{Outcome: modeler.OrderAccepted})
	}
}

// list returns the lists of a worker.
func (d *poolDay) list(w *poolWorker) modeler.OrderAnswer {
	a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Generation: w.Generation, Ended: slices.Clone(w.ended)}
	for _, task := range sortedPoolTasks(w.running) {
		t := w.running[task]
		done := d.workDone(t)
		e := modeler.RunningAttempt{Task: task, Attempt: t.attempt, Percent: min(100, int(100*done/max(t.workOf(task), 1)))}
		if whole := done.Truncate(time.Second); t.step.Checkpoints && whole > 0 {
			e.Saved = modeler.Checkpoint(whole.String())
		}
		a.Running = append(a.Running, e)
	}
	return a
}

func sortedPoolTasks(running map[modeler.FlowTask]*poolTask) []modeler.FlowTask {
	return slices.SortedFunc(maps.Keys(running), func(a, b modeler.FlowTask) int {
		return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

func (t *poolTask) workOf(task modeler.FlowTask) time.Duration {
	return t.flow.work[task.Step][task.Index]
}

// workDone returns the work that an attempt has done, with what it resumed from.
func (d *poolDay) workDone(t *poolTask) time.Duration {
	if !t.working || d.loop.Now < t.starts {
		return t.resumed
	}
	return t.resumed + time.Duration(float64(d.loop.Now-t.starts)*t.speed)
}

func (d *poolDay) start(w *poolWorker, o modeler.Order) modeler.OrderOutcome {
	if t := w.running[o.Task]; t != nil && t.attempt == o.Attempt {
		return modeler.OrderAccepted
	}
	if o.Attempt <= w.highest[o.Task] || w.running[o.Task] != nil {
		return modeler.OrderSuperseded
	}
	w.highest[o.Task] = o.Attempt
	f := d.byID[o.Task.Flow]
	t := &poolTask{flow: f, step: &f.Steps[o.Task.Step], attempt: o.Attempt, starts: d.loop.Now, speed: w.speed}
	if tail := d.settings.Tail; tail.Part > 0 && d.chanceOf("tail", o.Task, o.Attempt) < tail.Part {
		t.speed /= tail.Factor
	}
	if f.firstStart == 0 {
		f.firstStart = d.loop.Now
	}
	if o.Saved != "" {
		saved, err := time.ParseDuration(string(o.Saved))
		if err == nil {
			t.resumed = saved
			t.starts += poolRestore
		}
	}
	w.running[o.Task] = t
	if !t.step.Gang {
		d.begin(w, o.Task, t)
		return modeler.OrderAccepted
	}
	members := d.gang(o.Task, o.Attempt)
	if len(members) == t.step.Count {
		for _, m := range members {
			m.task.starts = max(d.loop.Now, m.task.starts)
			d.begin(m.worker, m.id, m.task)
		}
		return modeler.OrderAccepted
	}
	d.loop.After(poolGangTimeout, func() {
		if !t.working {
			d.end(w, o.Task, t, modeler.EndGangTimeout)
		}
	})
	return modeler.OrderAccepted
}

// begin lets an attempt work until it is done or fails.
func (d *poolDay) begin(w *poolWorker, task modeler.FlowTask, t *poolTask) {
	t.working = true
	if t.step.LongRunning {
		t.flow.longStarts++
		if t.flow.longStarts == t.step.Count {
			d.doneAt[task.Flow] = d.loop.Now
		}
		return
	}
	rest := time.Duration(float64(t.workOf(task)-t.resumed) / t.speed)
	kind := modeler.EndDone
	if d.chanceOf("error", task, t.attempt) < t.flow.queue.Errors {
		kind = modeler.EndFailed
		rest = time.Duration(float64(rest) * d.chanceOf("moment", task, t.attempt))
	}
	d.loop.After(max(0, t.starts-d.loop.Now)+max(rest, time.Millisecond), func() {
		if !t.ending {
			d.end(w, task, t, kind)
		}
	})
}

// poolMember is a running member of a gang.
type poolMember struct {
	worker *poolWorker
	id     modeler.FlowTask
	task   *poolTask
}

func (d *poolDay) gang(task modeler.FlowTask, attempt modeler.Attempt) []poolMember {
	var out []poolMember
	for _, w := range d.workers {
		for _, id := range sortedPoolTasks(w.running) {
			if t := w.running[id]; id.Flow == task.Flow && id.Step == task.Step && t.attempt == attempt {
				out = append(out, poolMember{w, id, t})
			}
		}
	}
	return out
}

// end ends an attempt, and with it the other members of its gang.
func (d *poolDay) end(w *poolWorker, task modeler.FlowTask, t *poolTask, kind modeler.EndKind) {
	if w.running[task] != t {
		return
	}
	done := d.workDone(t)
	delete(w.running, task)
	e := modeler.EndedAttempt{Task: task, Attempt: t.attempt, Kind: kind}
	if t.step.Checkpoints && kind != modeler.EndFailed && done > 0 {
		e.Saved = modeler.Checkpoint(done.Truncate(time.Millisecond).String())
	} else if kind != modeler.EndDone {
		d.lostWork += done
	}
	w.number++
	e.Number = w.number
	w.ended = append(w.ended, e)
	if w.renewal != nil {
		w.renewal()
	}
	if !t.step.Gang {
		return
	}
	others := kind
	if kind != modeler.EndDone {
		others = modeler.EndGangBroken
	}
	for _, m := range d.gang(task, t.attempt) {
		d.end(m.worker, m.id, m.task, others)
	}
}
