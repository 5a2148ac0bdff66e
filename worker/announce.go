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

// maxAnswerSize bounds the answer to a heartbeat, in bytes.
const maxAnswerSize = 16 << 20

// Heartbeat returns a heartbeat with the current state of the worker.
func (w *Worker) Heartbeat() modeler.Heartbeat {
	// The clock is read before the counts, so that the counts are never older
	// than the clock reading.
	clock := w.Clock()
	s := &w.settings
	heartbeat := modeler.Heartbeat{
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
		IdleTimeout: modeler.Duration(s.IdleTimeout),
		Capacity:    s.Capacity,
		Clock:       clock,
		Leaving:     w.isLeaving(),
	}
	// The last answer is read before the counts, so that the counts are never
	// older than it.
	lastAnswer := w.lastAnswer.Load()
	requests, counts := w.requests.report()
	heartbeat.Active = requests
	heartbeat.Tasks = w.tasks.reports()
	if lastAnswer == nil {
		return heartbeat
	}
	heartbeat.Seen = lastAnswer.Receipt
	if lastAnswer.Next > 0 {
		heartbeat.Sessions = counts
	}
	return heartbeat
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
	// minHeartbeatInterval is the minimum time between a heartbeat and the next
	// one that is sent because tasks have changed. It keeps a worker with many
	// short tasks from sending a heartbeat for each of them.
	minHeartbeatInterval = 50 * time.Millisecond
	// minRequestedInterval is the shortest interval to the next heartbeat that an
	// answer can request.
	minRequestedInterval = 5 * time.Millisecond
)

// announce sends heartbeats until ctx ends: at the start, at regular intervals,
// when the worker starts to leave, when the last answer requests one and soon
// after a task has started or ended.
func (w *Worker) announce(ctx context.Context) {
	if len(w.settings.Entries) == 0 {
		return
	}
	ticker := time.NewTicker(w.settings.HeartbeatInterval)
	defer ticker.Stop()
	leaving := w.leaving
	for {
		var nextHeartbeatDue <-chan time.Time
		if w.sendHeartbeat(ctx) {
			nextHeartbeatDue = w.nextHeartbeatDue()
		}
		intervalOver := time.After(min(minHeartbeatInterval, w.settings.HeartbeatInterval))
		var changed <-chan struct{}
		for due := false; !due; {
			due = true
			select {
			case <-ctx.Done():
				return
			case <-intervalOver:
				changed = w.tasksChanged
				due = false
			case <-nextHeartbeatDue:
			case <-leaving:
				leaving = nil
			case <-changed:
			case <-ticker.C:
			}
		}
	}
}

// notifyTasksChanged makes announce report the tasks soon.
func (w *Worker) notifyTasksChanged() {
	select {
	case w.tasksChanged <- struct{}{}:
	default:
	}
}

// nextHeartbeatDue returns a channel that receives a value when the next heartbeat
// that the last answer requested is due, or nil if it requested none.
func (w *Worker) nextHeartbeatDue() <-chan time.Time {
	lastAnswer := w.lastAnswer.Load()
	if lastAnswer == nil || lastAnswer.Next <= 0 {
		return nil
	}
	return time.After(max(minRequestedInterval, lastAnswer.Next.Std()))
}

// sendHeartbeat sends a heartbeat to one entry host. After a failure it
// immediately tries the next one, and each at most once. It reports whether an
// entry host has answered.
func (w *Worker) sendHeartbeat(ctx context.Context) bool {
	for range w.settings.Entries {
		entry := w.settings.Entries[w.nextEntry%len(w.settings.Entries)]
		w.nextEntry++
		lastAnswer, err := w.settings.Announce(ctx, entry, w.Heartbeat())
		if err == nil {
			w.lastAnswer.Store(&lastAnswer)
			w.tasks.renew(lastAnswer.Leases)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (w *Worker) postHeartbeat(ctx context.Context, entry string, heartbeat modeler.Heartbeat) (modeler.HeartbeatAnswer, error) {
	var answer modeler.HeartbeatAnswer
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/workers", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.httpClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return answer, fmt.Errorf("%s answered the heartbeat with %s", entry, response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil || len(text) == 0 {
		return answer, err
	}
	return answer, json.Unmarshal(text, &answer)
}
