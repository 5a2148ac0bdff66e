package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/forwarder"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
)

// Guards against an older configuration replacing a newer one. A leader that
// has been replaced, but doesn't know it yet, sends its configuration after the
// entry host has received the newest.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	sent := make(chan struct{})
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := linker.Accept(w, r, modeler.Hello{Member: 1})
		if err != nil {
			return
		}
		defer l.Close()
		service := modeler.Service{Name: "cut", AtMostOnce: true, Queue: 1}
		l.Send(&modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: &modeler.Configuration{Version: 2}})
		l.Send(&modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: &modeler.Configuration{Version: 1, Services: []modeler.Service{service}}})
		close(sent)
		for range l.Receive() {
		}
	}))
	defer control.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := forwarder.New(forwarder.Settings{
		Entry: "e1", Controls: []string{strings.TrimPrefix(control.URL, "http://")}, MaxBody: 1 << 20, MaxBuffered: 1 << 20,
		DrainGrace: time.Second, Listener: listener,
		Report: reporter.New(reporter.Options{Role: "entry", Name: "e1", Out: t.Output()}),
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	defer func() {
		stop()
		assert.NilError(t, <-ended)
	}()
	<-sent
	for range 20 {
		answer, err := http.Post("http://"+listener.Addr().String()+"/v1/services/cut/x", "text/plain", strings.NewReader("x"))
		assert.NilError(t, err)
		_ = answer.Body.Close()
		// If the service were known, the request would be refused with 400 for
		// its missing idempotency key.
		assert.Assert(t, answer.StatusCode != http.StatusBadRequest, "the older configuration is in force")
		time.Sleep(20 * time.Millisecond)
	}
}
