package hoster_test

import (
	"bytes"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/operator"
	"goldcreststack.example/goldcreststack/platform/imitator"
)

// Guards against accounts that work in each package and not over the whole way: calls with
// keys over HTTP, and the status and metrics at the metrics port.
func TestAccountsOverHTTP(t *testing.T) {
	port := freePort(t)
	control := imitator.PortAddress(ip(40), port, 1)
	startProcess(t, imitator.Node{Name: "c1", IP: ip(40), Port: port, Seeds: []string{control}, Bootstrap: true, DataFolder: filepath.Join(t.TempDir(), "data")})
	startProcess(t, imitator.Node{Name: "e1", IP: ip(41), Port: port, Seeds: []string{control}, Entry: true})
	layout := `{"version":1,"routes":[{"host":"h","path_prefix":"/q/","timeout_ms":1000,"service":"s"}],"services":[{"name":"s"}],
		"tenants":[{"name":"acme","api_keys":["k1"],"weight":2,"cap":{"cpu":64000,"mem_mb":0,"gpu":0}}]}`
	assert.Assert(t, eventually(startTimeout, func() bool { return offerLayout(t, control, layout) }), "no layout in force")
	submit := func(authorization string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+imitator.PortAddress(ip(41), port, 1)+"/q/0123456789abcdef",
			strings.NewReader(`{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900}]}`))
		assert.NilError(t, err)
		request.Host = "h"
		if authorization != "" {
			request.Header.Set("Authorization", authorization)
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer answer.Body.Close()
		return answer.StatusCode
	}
	assert.Assert(t, eventually(startTimeout, func() bool { return submit("Bearer k1") == http.StatusOK }), "the account can't submit")
	assert.Equal(t, submit(""), http.StatusUnauthorized)
	assert.Equal(t, submit("Bearer k2"), http.StatusUnauthorized)

	for _, host := range []string{ip(40), ip(41)} {
		client, err := operator.New(operator.Options{Entries: []string{host + ":9464"}, Patience: time.Second})
		assert.NilError(t, err)
		var out, errs bytes.Buffer
		assert.NilError(t, client.Status(t.Context()).Print(&out, &errs, false))
		for _, want := range []string{"acme 0.0 64.0 2 0 4 0 0", "waiting tasks of flows: 4 for room"} {
			assert.Assert(t, strings.Contains(strings.Join(strings.Fields(out.String()), " "), want), "%s%s", out.String(), errs.String())
		}
		t.Log(out.String())
	}
}
