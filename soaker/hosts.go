package soaker

import (
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"time"
)

// listDelay is how far the operator's list of control hosts lags behind the hosts,
// from the platform's pages.
const listDelay = 3 * time.Second

// listing is the time during which the operator's list names a control host.
type listing struct {
	process *process
	// from and until lag behind the host; until is zero while the host isn't
	// removed.
	from, until time.Time
}

// controlHosts returns the current control process of each slot.
func (w *world) controlHosts() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.control)
}

// processes returns the current control processes and the entry processes.
func (w *world) processes() []*process { return append(w.controlHosts(), w.entries...) }

// addListing adds a control host to the operator's list after the given delay.
func (w *world) addListing(p *process, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listings = append(w.listings, listing{process: p, from: time.Now().Add(delay)})
}

// endListing removes a control host from the operator's list after listDelay.
func (w *world) endListing(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.listings {
		if w.listings[i].process == p {
			w.listings[i].until = time.Now().Add(listDelay)
		}
	}
}

// setHost makes a process the one of the slot.
func (w *world) setHost(slot int, p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.control[slot] = p
}

// listedControl returns the control processes that the operator's list names.
func (w *world) listedControl() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*process
	now := time.Now()
	for _, l := range w.listings {
		if !now.Before(l.from) && (l.until.IsZero() || now.Before(l.until)) {
			out = append(out, l.process)
		}
	}
	return out
}

// randomControl returns the address for workers and the operator of a process on
// the operator's list.
func (w *world) randomControl() string {
	hosts := w.listedControl()
	return w.offsetAddress(hosts[rand.IntN(len(hosts))].host, 1)
}

// metricsPort is the port of the metrics and the state dump in the deploy file.
const metricsPort = "9464"

var leadsPattern = regexp.MustCompile(`(?m)^goldcreststack_leads(\{[^}]*\})? 1$`)

// leaderSlot returns the slot of the control process that says it leads, or -1.
func (w *world) leaderSlot(client *http.Client) int {
	return slices.IndexFunc(w.controlHosts(), func(p *process) bool {
		_, body := send(client, http.MethodGet, net.JoinHostPort(p.host, metricsPort), "/metrics", "")
		return leadsPattern.Match(body)
	})
}
