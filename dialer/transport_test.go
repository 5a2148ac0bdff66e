package dialer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/worker"
)

// Guards against silently resending a request when the worker closes the
// connection after reading it. The same requests over http.Transport show which
// of them it resends, and that it resends none whose body can't be read again.
func TestNoResending(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST"} {
		for _, key := range []string{"", "019b0000-0000-7000-8000-000000000001"} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s key=%v reused=%v", method, key != "", reused), func(t *testing.T) {
					u := start(t, worker.Settings{})
					closeAfterRequest := func(path string, do func(fault worker.Fault, path string) error) {
						if reused {
							assert.NilError(t, do(worker.FaultNone, path))
						}
						assert.Assert(t, do(worker.FaultClose, path+"/doomed") != nil)
					}
					text := ""
					if method == "POST" {
						text = "die 19"
					}

					closeAfterRequest(path, func(fault worker.Fault, path string) error {
						a := u.attempt(fault)
						a.Method, a.Target = method, path
						if text != "" {
							a.Body, a.Length = strings.NewReader(text), int64(len(text))
						}
						if key != "" {
							a.Header.Set("Idempotency-Key", key)
						}
						answer, _, err := u.fetch(t.Context(), a)
						if err != nil {
							assert.Equal(t, classifier.KindOf(err), classifier.AnswerLost, "%v", err)
							return err
						}
						assert.Equal(t, answer.Status, http.StatusOK)
						return nil
					})
					assert.Equal(t, u.runs(path+"/doomed"), 1)

					for _, singleRead := range []bool{false, true} {
						want := 1
						if reused && !singleRead && (method != "POST" || key != "") {
							want = 2
						}
						closedPath := fmt.Sprintf("%s/%v", path, singleRead)
						transport := &http.Transport{}
						closeAfterRequest(closedPath, func(fault worker.Fault, path string) error {
							request, err := http.NewRequest(method, "http://"+u.Address()+path, strings.NewReader(text))
							assert.NilError(t, err)
							if singleRead {
								request.GetBody = nil
								request.Body = io.NopCloser(strings.NewReader(text))
							}
							request.Header.Set(worker.FaultHeader, string(fault))
							if key != "" {
								request.Header.Set("Idempotency-Key", key)
							}
							answer, err := transport.RoundTrip(request)
							if err != nil {
								return err
							}
							defer answer.Body.Close()
							_, err = io.Copy(io.Discard, answer.Body)
							return err
						})
						transport.CloseIdleConnections()
						assert.Equal(t, u.runs(closedPath+"/doomed"), want, "runs over http.Transport, singleRead=%v", singleRead)
					}
				})
			}
		}
	}
}
