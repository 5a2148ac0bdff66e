package dialer_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/worker"
)

const path = "/v1/services/narudzbe/proofs/7"

// upstream is a worker on a loopback port and a dialer to reach it.
type upstream struct {
	*worker.Worker
	dialer *dialer.Dialer
}

func start(t testing.TB, s worker.Settings) *upstream {
	t.Helper()
	address := make(chan string, 1)
	s.ID = "w1"
	s.Services = append(s.Services, "narudzbe")
	s.LeaveDelay = time.Millisecond
	s.GracePeriod = time.Second
	s.Listening = func(a string) { address <- a }
	w := worker.New(s)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	d := dialer.New(dialer.Settings{ProgressTimeout: 300 * time.Millisecond})
	t.Cleanup(func() {
		d.Close()
		cancel()
		<-ended
	})
	select {
	case <-address:
	case <-time.After(5 * time.Second):
		t.Fatal("the worker doesn't listen")
	}
	return &upstream{w, d}
}

func (u *upstream) attempt(fault worker.Fault) dialer.Attempt {
	header := http.Header{}
	if fault != worker.FaultNone {
		header.Set(worker.FaultHeader, string(fault))
	}
	return dialer.Attempt{
		Worker: "w1", Generation: u.Generation(), Address: u.Address(),
		MaxConnections: 64, Timeout: 5 * time.Second,
		Method: http.MethodGet, Target: path, Header: header,
	}
}

// fetch makes an attempt and reads the whole answer.
func (u *upstream) fetch(ctx context.Context, a dialer.Attempt) (*dialer.Answer, []byte, error) {
	answer, err := u.dialer.Do(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer, text, err
}

func echo(t *testing.T, text []byte) worker.Echo {
	t.Helper()
	var e worker.Echo
	assert.NilError(t, json.Unmarshal(text, &e), "%s", text)
	return e
}

// Guards against answers that are lost or mixed up when no fault occurs.
func TestAnswers(t *testing.T) {
	u := start(t, worker.Settings{})
	for i := range 3 {
		answer, text, err := u.fetch(t.Context(), u.attempt(worker.FaultNone))
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		assert.Equal(t, answer.Reused, i > 0)
		assert.Equal(t, echo(t, text).Run, uint64(i+1))
		assert.Equal(t, u.dialer.Count("w1", u.Generation()), dialer.Count{Open: 1, Idle: 1})
	}
}
