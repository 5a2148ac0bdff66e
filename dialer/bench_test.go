package dialer_test

import (
	"io"
	"net/http"
	"testing"

	"goldcreststack.example/goldcreststack/worker"
)

// BenchmarkDo compares requests over reused connections with requests over a
// new connection each, for the dialer and for http.Transport.
func BenchmarkDo(b *testing.B) {
	for _, c := range []struct {
		name      string
		plain     bool
		transport *http.Transport
	}{
		{name: "reused"},
		{name: "single", plain: true},
		{name: "transport-reused", transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		{name: "transport-single", transport: &http.Transport{DisableKeepAlives: true}},
	} {
		b.Run(c.name, func(b *testing.B) {
			u := start(b, worker.Settings{OmitRequestToken: c.plain})
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if c.transport == nil {
						if _, _, err := u.fetch(b.Context(), u.attempt(worker.FaultNone)); err != nil {
							b.Error(err)
						}
						continue
					}
					request, _ := http.NewRequest(http.MethodGet, "http://"+u.Address()+path, nil)
					answer, err := c.transport.RoundTrip(request)
					if err != nil {
						b.Error(err)
						continue
					}
					io.ReadAll(answer.Body)
					answer.Body.Close()
				}
			})
			if c.transport != nil {
				c.transport.CloseIdleConnections()
			}
		})
	}
}
