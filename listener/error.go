package listener

import (
	"encoding/json"
	"net/http"
	"strconv"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// OutcomeHeader is the response header that says whether the request ran.
	// Only the system's own answers have it.
	OutcomeHeader = "Goldcreststack-Outcome"
	// retryAfterSeconds is the delay after which a caller should send a
	// refused request again.
	retryAfterSeconds = 1
)

// WriteError answers with the status and the name that classifier assigns to
// the kind of err, and with the given outcome. That differs from the kind's
// own outcome when an earlier attempt may have run.
func WriteError(w http.ResponseWriter, err error, outcome classifier.Outcome) {
	writeError(w, err, outcome, 0)
}

// writeError answers as WriteError does, with a digest that is 0 except on a
// ticket conflict.
func writeError(w http.ResponseWriter, err error, outcome classifier.Outcome, digest modeler.Digest) {
	row := classifier.KindOf(err).Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, outcome.String())
	if row.CallerMayRetry {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(&modeler.ErrorAnswer{
		Kind:    row.Name,
		Outcome: outcome.String(),
		Detail:  classifier.DetailOf(err),
		Digest:  digest,
	})
}
