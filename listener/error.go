package listener

import (
	"encoding/json"
	"net/http"
	"strconv"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// OutcomeHeader tells on the system's own answers whether the request
	// was run.
	OutcomeHeader = "Goldcreststack-Outcome"
	// retryAfter is the suggested pause in seconds before a refused request
	// is sent again.
	retryAfter = 1
)

// WriteError answers with an error kind from the table and the outcome, which
// may say less than the table's when an earlier attempt may have run.
func WriteError(w http.ResponseWriter, err error, outcome classifier.Outcome) {
	writeError(w, err, outcome, 0)
}

// writeError answers with an error; digest is set on a ticket conflict.
func writeError(w http.ResponseWriter, err error, outcome classifier.Outcome, digest modeler.Digest) {
	row := classifier.KindOf(err).Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, outcome.String())
	if row.CallerMayRetry {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(&modeler.ErrorAnswer{
		Kind:    row.Name,
		Outcome: outcome.String(),
		Detail:  classifier.DetailOf(err),
		Digest:  digest,
	})
}
