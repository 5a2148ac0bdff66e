package forwarder

import (
	"context"
	"net/http"

	"goldcreststack.example/goldcreststack/drainer"
	"goldcreststack.example/goldcreststack/listener"
	"goldcreststack.example/goldcreststack/modeler"
)

// Handler returns the HTTP handler for callers, workers and operators.
func (f *Forwarder) Handler() http.Handler {
	routes := listener.New(listener.Handlers{
		ServeRequest: f.ServeRequest,
		Heartbeat:    f.heartbeats.send,
		Propose:      f.propose,
		Query:        f.query,
		Drain:        f.startDrain,
		IsReady:      f.Serving,
		WriteState:   f.writeState,
		WriteMetrics: f.writeMetrics,
	})
	return drainer.CloseConnections(routes, f.isClosing.Load)
}

// startDrain starts the graceful shutdown and counts the requests that still
// wait or run.
func (f *Forwarder) startDrain(ctx context.Context) modeler.DrainAnswer {
	f.Drain()
	ctx, cancel := context.WithTimeout(ctx, readStateTimeout)
	defer cancel()
	state, _ := f.readState(ctx)
	answer := modeler.DrainAnswer{Name: f.session.Entry, Draining: true}
	for _, s := range state.Services {
		answer.Waiting += s.Waiting
	}
	for _, w := range state.Workers {
		answer.Active += w.InUse
	}
	return answer
}
