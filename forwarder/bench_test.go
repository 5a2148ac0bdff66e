package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/worker"
)

// BenchmarkServe measures a request through the whole entry role, from the HTTP
// handler to a stand-in worker in the same process and back.
func BenchmarkServe(b *testing.B) {
	c := newCell(b, 4, func(s *worker.Settings) { s.HeartbeatInterval = time.Second })
	handler := c.entry.Handler()
	b.ReportAllocs()
	b.ResetTimer()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request := httptest.NewRequest(http.MethodPost, "/v1/services/proof/x", strings.NewReader("child=1024"))
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			assert.Equal(b, answer.Code, http.StatusOK)
		}
	})
}
