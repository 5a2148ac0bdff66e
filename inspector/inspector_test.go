package inspector_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/inspector"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/platform"
	"goldcreststack.example/goldcreststack/sequencer"
)

// send puts a document through the system's handler and acceptance, and returns whether it
// came into force.
func send(held *sequencer.Sequencer, document string) bool {
	inForce := false
	s := &platform.Server{
		Call: func(_ context.Context, call *modeler.Call) (*modeler.Reply, error) {
			if err := sequencer.CheckLayout(call.Layout); err != nil {
				return nil, err
			}
			result := held.SetLayout(call.Layout)
			inForce = !result.Repeat
			return &modeler.Reply{Result: result}, nil
		},
		Log:        func(string, ...any) {},
		Outage:     func() time.Duration { return 0 },
		RetryAfter: func() time.Duration { return 0 },
	}
	w := httptest.NewRecorder()
	s.ControlHandler().ServeHTTP(w, httptest.NewRequest("PUT", "/-/config", strings.NewReader(document)))
	return w.Code == http.StatusOK && inForce
}

// inspect returns the findings of the check and whether it calls the document usable.
func inspect(held *modeler.Layout, document string) ([]inspector.Finding, bool) {
	next, found := inspector.Parse([]byte(document))
	if next != nil {
		found = append(inspector.Inspect(next), inspector.Compare(held, next)...)
	}
	return found, inspector.IsUsable(found)
}

func textOf(found []inspector.Finding) string {
	lines := make([]string, 0, len(found))
	for _, f := range found {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

var keys = []string{"sesame1", "sesame2", "sesame3"}

func drawDocument(t *rapid.T) string {
	entries := func(name string, draw func() string) string {
		list := make([]string, rapid.IntRange(0, 3).Draw(t, name))
		for i := range list {
			list[i] = draw()
		}
		return "[" + strings.Join(list, ",") + "]"
	}
	one := func(values ...string) string { return rapid.SampledFrom(values).Draw(t, "value") }
	routes := entries("routes", func() string {
		return fmt.Sprintf(`{"host":%q,"path_prefix":%q,"timeout_ms":%s,"service":%q,"public":%s,"max_attempts":%s,"slowdown_factor":%s,"advice":%s}`,
			one("a", "b", "a:1"), one("/", "/x/", "", "x"), one("100", "100", "100", "0"), one("s", "s", "s", "r"), one("true", "false"),
			one("0", "3", "-1"), one("0", "2"), one("null", `{"decision_ms":200,"validity_ms":300}`))
	})
	services := one(`[{"name":"s"}]`, `[{"name":"s"},{"name":"r"}]`)
	document := fmt.Sprintf(`{"version":%s,"routes":%s,"services":%s`, one("0", "1", "2", "3", "4"), routes, services)
	if rapid.Bool().Draw(t, "keyed") {
		document += `,"tenants":` + entries("tenants", func() string {
			held := entries("keys", func() string { return `"` + one(keys...) + `"` })
			if rapid.IntRange(0, 9).Draw(t, "flaw") == 0 {
				held = one(`"sesame1"`, `[sesame1]`, `["sesame1`, `[1]`)
			}
			return fmt.Sprintf(`{"name":%q,"api_keys":%s,"weight":%s,"cap":{"cpu":%s}}`,
				one("t1", "t2", "t3", "t4", "t5", ""), held, one("0", "1", "2.5"), one("0", "1000", "2000", "2000", "-1"))
		})
	}
	return document + "}"
}

// Guards against a check that disagrees with the system about which configurations come
// into force, and against findings that show a key or its digest.
func TestCheckAgreesWithTheSystem(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		system := sequencer.New()
		for range 4 {
			document := drawDocument(t)
			held := *system.Layout()
			found, isUsable := inspect(&held, document)
			assert.Equal(t, isUsable, send(system, document), "%s\n%s", document, textOf(found))
			if isUsable {
				accepted++
			} else {
				refused++
			}
			assert.Assert(t, !showsKey(textOf(found)), "%s", textOf(found))
		}
	})
	assert.Assert(t, accepted > 20 && refused > 20, "%d accepted, %d refused", accepted, refused)
}

func showsKey(text string) bool {
	for _, key := range keys {
		digest := sha256.Sum256([]byte(key))
		for _, form := range []string{"sesame", hex.EncodeToString(digest[:4]), base64.StdEncoding.EncodeToString(digest[:])[:8], fmt.Sprint(digest[:3])[1:]} {
			if strings.Contains(text, strings.Trim(form, "[]")) {
				return true
			}
		}
	}
	return false
}

const inForce = `{"version":5,"services":[{"name":"s"},{"name":"r"}],"routes":[
	{"host":"a","path_prefix":"/","timeout_ms":900,"service":"s","max_attempts":3,"slowdown_factor":2,"target_latency_ms":900},
	{"host":"a","path_prefix":"/x/","timeout_ms":900,"service":"r","max_attempts":3,"slowdown_factor":2,"public":true}],
	"tenants":[{"name":"t1","api_keys":["sesame1","sesame2","sesame2"],"weight":3,"cap":{"cpu":4000}},
	{"name":"t2","api_keys":["sesame3"],"weight":1}]}`

// Guards against entries and limits that are passed over, and against findings on a sound
// configuration.
func TestFindings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"path_prefix":"/x/"`, `"path_prefix":""`, `unused: route "a": the route with the path_prefix "/"`},
		{`"host":"a","path_prefix":"/",`, `"host":"a","path_prefix":"/x",`, `unused: route "a/x": the route with the path_prefix "/x/"`},
		{`"host":"a","path_prefix":"/",`, `"host":"a:80","path_prefix":"/",`, `unused: route "a:80/": no call matches a host with a port`},
		{`"path_prefix":"/x/"`, `"path_prefix":"x/"`, `unused: route "ax/": no call matches a path_prefix`},
		{`["sesame3"]`, `[]`, `unused: account "t2": it has no keys`},
		{`{"name":"r"}`, `{"name":"r"},{"name":"q"}`, `unused: service "q": no route`},
		{`"target_latency_ms":900`, `"target_latency_ms":900,"advice":{"decision_ms":901,"validity_ms":2500}`, "timeout_ms 900 ms is shorter than the policy's decision of 901 ms"},
		{`"target_latency_ms":900`, `"target_latency_ms":900,"advice":{"decision_ms":9,"validity_ms":300}`, "permits expire"},
		{`"slowdown_factor":2,"target_latency_ms":900`, `"slowdown_factor":1,"target_latency_ms":90,"advice":{"decision_ms":90,"validity_ms":900}`, "never answer in time"},
		{`"weight":1`, `"weight":0`, `contradictory: account "t2": weight 0`},
		{`"max_attempts":3`, `"max_attempts":0`, "max_attempts 0"},
		{`"slowdown_factor":2`, `"slowdown_factor":0.5`, "slowdown_factor 0.5"},
		{`"weight":1`, `"weight":"sesame3"`, "refused: line 5: tenants.weight: the value can't be read as float64"},
		{`"sesame3"`, `sesame3`, "refused: line 5: the document is not valid JSON"},
	} {
		l, found := inspector.Parse([]byte(strings.Replace(inForce, c.old, c.new, 1)))
		if l != nil {
			found = inspector.Inspect(l)
		}
		text := textOf(found)
		assert.Assert(t, strings.Contains(text, c.want), "%s\n%s", c.want, text)
		assert.Equal(t, text == "", c.want == "", text)
		assert.Assert(t, !showsKey(text), text)
	}
	team := modeler.Team{Name: "t", Weight: 1, Quota: modeler.Resources{Processors: 1000, Memory: 1 << 30}}
	found := inspector.Inspect(&modeler.Layout{Number: 1, Keyed: true, Accounts: []modeler.Account{{Team: team}}})
	assert.Assert(t, strings.Contains(textOf(found), "its quota of gpu admits nothing"), textOf(found))
}

// Guards against a difference that is passed over or counted wrongly.
func TestCompare(t *testing.T) {
	held, _ := inspector.Parse([]byte(inForce))
	for _, c := range []struct{ old, new, want string }{
		{`"version":5`, `"version":5`, "refused: version 5 is not above version 5"},
		{`"sesame1","sesame2","sesame2"`, `"sesame1"`, `stopped: account "t1": 1 of its 2 keys removed`},
		{`"sesame1","sesame2","sesame2"`, `"sesame1","sesame2","sesame4"`, `changed: account "t1": 1 keys added`},
		{`"cpu":4000`, `"cpu":3000`, `stopped: account "t1": quota of cpu lowered from 4000 thousandths of a core to 3000`},
		{`"cpu":4000`, `"cpu":0`, `changed: account "t1": quota of cpu raised from 4000 thousandths of a core to no limit`},
		{`"name":"t2"`, `"name":"t3"`, `stopped: account "t2": removed`},
		{`"name":"t2"`, `"name":"t3"`, `stopped: account "t2": 1 of its 1 keys move to account "t3"`},
		{`"path_prefix":"/x/"`, `"path_prefix":"/y/"`, `stopped: route "a/x/": removed: its calls go to route "a/"`},
		{`"host":"a"`, `"host":"b"`, `stopped: route "a/": removed: its calls get 404`},
		{`,"public":true`, ``, `stopped: route "a/x/": no longer public`},
		{`"timeout_ms":900`, `"timeout_ms":800`, `changed: route "a/": timeout_ms changes from 900 ms to 800 ms`},
		{`"tenants"`, `"former"`, "changed: the list of tenants is gone"},
	} {
		document := strings.Replace(inForce, c.old, c.new, 1)
		if c.old != c.new {
			document = strings.Replace(document, `"version":5`, `"version":6`, 1)
		}
		next, _ := inspector.Parse([]byte(document))
		text := textOf(inspector.Compare(held, next))
		assert.Assert(t, strings.Contains(text, c.want), "%s\n%s", c.want, text)
		assert.Assert(t, !showsKey(text), text)
	}
}
