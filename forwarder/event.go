package forwarder

import (
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

// event is an input of the core goroutine.
type event interface{ isEvent() }

// requestArrived queues a request for a slot; the core sends exactly one reply.
type requestArrived struct {
	request router.Request
	reply   chan<- placement
}

// placement is the slot assigned to a request, or the kind of error for which
// it is refused.
type placement struct {
	assignment router.Assignment
	kind       classifier.Kind
}

// requestCancelled reports that the caller of a waiting request has gone.
type requestCancelled struct{ id router.RequestID }

// attemptFinished reports the end of an attempt. surelyEnded says that the
// worker doesn't run the request any more, so its slot is free at once.
type attemptFinished struct {
	id          router.RequestID
	kind        classifier.Kind
	surelyEnded bool
}

// leaderConnected reports a link to the leader of a term.
type leaderConnected struct{ term modeler.Term }

// leaderDisconnected reports that the link to the leader of a term has closed.
type leaderDisconnected struct{ term modeler.Term }

// grantReceived carries a grant from the leader.
type grantReceived struct{ grant *modeler.Grant }

// configurationReceived carries a configuration from the leader.
type configurationReceived struct{ configuration *modeler.Configuration }

// drainStarted makes the router drain.
type drainStarted struct{}

// stateInspection calls visit on the core goroutine, to read the router's
// state.
type stateInspection struct{ visit func(*core) }

func (requestArrived) isEvent()        {}
func (requestCancelled) isEvent()      {}
func (attemptFinished) isEvent()       {}
func (leaderConnected) isEvent()       {}
func (leaderDisconnected) isEvent()    {}
func (grantReceived) isEvent()         {}
func (configurationReceived) isEvent() {}
func (drainStarted) isEvent()          {}
func (stateInspection) isEvent()       {}
