package main_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
)

// Guards against a request path between separate processes that loses or repeats a
// request, with the layout of each deployment.
func TestWholePath(t *testing.T) {
	for name, shape := range map[string]deployment{"kitahama": kitahama, "kovacic": kovacic} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, shape, 3, 7, 4)
			key := newKey(t)
			first := ""
			for i, entryAddress := range s.entryAddresses {
				status, body, err := s.post(entryAddress, "/v1/services/"+shape.service+"/order?n=1", "", i)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, body)
				assert.Assert(t, strings.Contains(body, `"service":"`+shape.service+`"`), body)

				status, body, err = s.post(entryAddress, "/v1/services/"+shape.once+"/run", key, "program")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, body)
				if first == "" {
					first = body
				}
				assert.Equal(t, body, first, "a repeat gets the recorded answer")
			}
			assert.Equal(t, s.runsOf(key), 1)
			checkBadInput(t, s)
		})
	}
}

// checkBadInput sends invalid requests. Each must get the status, kind and outcome
// that the classifier's table states.
func checkBadInput(t *testing.T, s *system) {
	cases := []struct {
		path string
		key  string
		body any
		want classifier.Kind
	}{
		{"/v1/services/nowhere/x", "", 1, classifier.UnknownService},
		{"/v1/services/" + s.shape.once + "/x", "", 1, classifier.KeyMissing},
		{"/v1/services/" + s.shape.once + "/x", "order-7", 1, classifier.KeyInvalid},
		{"/v1/services/" + s.shape.service + "/../../tasks", "", 1, classifier.Malformed},
		{"/v1/services/" + s.shape.service + "/x", "", strings.Repeat("x", 9<<20), classifier.TooLarge},
		{"/v1/tickets", "", "no ticket", classifier.Malformed},
		{"/v1/tickets", "", map[string]any{"number": 9, "servces": 1}, classifier.Malformed},
		{"/v1/tickets", "", map[string]any{"number": 9}, classifier.TicketInvalid},
		{"/v1/nothing", "", 1, classifier.Malformed},
	}
	for _, c := range cases {
		status, body, err := s.post(s.entryAddresses[0], c.path, c.key, c.body)
		assert.NilError(t, err)
		row := c.want.Answer()
		assert.Equal(t, status, row.Status, "%s: %s", c.path, body)
		assert.Assert(t, strings.Contains(body, `"kind":"`+row.Name+`","outcome":"`+row.Outcome.String()+`"`), body)
	}
}
