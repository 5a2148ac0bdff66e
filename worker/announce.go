package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// answerLimit bounds the answer to a heartbeat.
const answerLimit = 16 << 20

// Heartbeat returns the announcement as of now.
func (w *Worker) Heartbeat() modeler.Heartbeat {
	// The clock is read first, so that what is counted is never older than
	// the reading says.
	clock := w.Clock()
	s := &w.settings
	beat := modeler.Heartbeat{
		Worker:      s.ID,
		Generation:  w.generation,
		Address:     w.Address(),
		Region:      s.Region,
		Domain:      s.Domain,
		Rack:        s.Rack,
		Labels:      s.Labels,
		Services:    s.Services,
		Slots:       s.Slots,
		Connections: s.Connections,
		IdleTimeout: modeler.Duration(s.Idle),
		Capacity:    s.Capacity,
		Clock:       clock,
		Leaving:     w.isLeaving(),
	}
	// The answer is read before the counts, so that they are newer than it.
	answer := w.answer.Load()
	active, counts := w.active.report()
	beat.Active = active
	beat.Tasks = w.tasks.reports()
	if answer == nil {
		return beat
	}
	beat.Seen = answer.Receipt
	if answer.Next > 0 {
		beat.Sessions = counts
	}
	return beat
}

func (w *Worker) isLeaving() bool {
	select {
	case <-w.leaving:
		return true
	default:
		return false
	}
}

const (
	// beatPause lies between a heartbeat and one about changed tasks, so that a
	// worker with many short tasks doesn't send one for each of them.
	beatPause = 50 * time.Millisecond
	// shortestBeat bounds the heartbeats that answers can ask for.
	shortestBeat = 5 * time.Millisecond
)

// announce sends a heartbeat on the start, with each beat, when the worker
// starts to leave, when the last answer asks for one and soon after a task has
// started or ended.
func (w *Worker) announce(ctx context.Context) {
	if len(w.settings.Entries) == 0 {
		return
	}
	beat := time.NewTicker(w.settings.Beat)
	defer beat.Stop()
	leaving := w.leaving
	for {
		var asked <-chan time.Time
		if w.beat(ctx) {
			asked = w.asked()
		}
		rested := time.After(min(beatPause, w.settings.Beat))
		var changed <-chan struct{}
		for due := false; !due; {
			due = true
			select {
			case <-ctx.Done():
				return
			case <-rested:
				changed = w.changed
				due = false
			case <-asked:
			case <-leaving:
				leaving = nil
			case <-changed:
			case <-beat.C:
			}
		}
	}
}

// noteChange has the announcer report the tasks soon.
func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// asked returns a channel that is ready when the last answer asks for the next
// heartbeat, nil if it doesn't.
func (w *Worker) asked() <-chan time.Time {
	answer := w.answer.Load()
	if answer == nil || answer.Next <= 0 {
		return nil
	}
	return time.After(max(shortestBeat, answer.Next.Std()))
}

// beat sends one heartbeat, on a failure at once to the next entry host, and
// tries each entry host at most once. It reports whether one has answered.
func (w *Worker) beat(ctx context.Context) bool {
	for range w.settings.Entries {
		entry := w.settings.Entries[w.turn%len(w.settings.Entries)]
		w.turn++
		answer, err := w.settings.Announce(ctx, entry, w.Heartbeat())
		if err == nil {
			w.answer.Store(&answer)
			w.tasks.renew(answer.Leases)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (w *Worker) post(ctx context.Context, entry string, beat modeler.Heartbeat) (modeler.HeartbeatAnswer, error) {
	var answer modeler.HeartbeatAnswer
	body, err := json.Marshal(beat)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/workers", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.sender.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return answer, fmt.Errorf("%s answered the heartbeat with %s", entry, response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil || len(text) == 0 {
		return answer, err
	}
	return answer, json.Unmarshal(text, &answer)
}
