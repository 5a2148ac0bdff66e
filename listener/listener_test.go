package listener_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/listener"
	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a ticket that is accepted although something follows it.
func TestTrailingDataIsRefused(t *testing.T) {
	proposals := 0
	handler := listener.New(listener.Handlers{
		Propose: func(context.Context, *modeler.Command) modeler.Result { proposals++; return modeler.Result{} },
		Query:   func(context.Context, modeler.Query) ([]byte, error) { return []byte("{}"), nil },
	})
	post := func(body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/tickets", strings.NewReader(body)))
		return w.Code
	}
	for _, trailing := range []string{"}", "]", " }", "{}", "x"} {
		assert.Equal(t, post(`{"number":1}`+trailing), http.StatusBadRequest, trailing)
	}
	assert.Equal(t, proposals, 0)
	assert.Equal(t, post("{\"number\":1} \n"), http.StatusOK)
	assert.Equal(t, proposals, 1)
}
