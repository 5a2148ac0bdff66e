package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against exit codes and outputs of check that differ from the help, and against
// keys in them.
func TestCheckLayout(t *testing.T) {
	folder := t.TempDir()
	write := func(name, version, keys string) string {
		path := filepath.Join(folder, name)
		text := `{"version":` + version + `,"services":[{"name":"s"}],"routes":[{"host":"a","path_prefix":"/","timeout_ms":900,
			"service":"s","max_attempts":3,"slowdown_factor":2}],"tenants":[{"name":"t1","weight":1,"api_keys":` + keys + `}]}`
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	held, next := write("held", "1", `["sesame1","sesame2"]`), write("next", "2", `["sesame2"]`)
	broken := write("broken", "2", `[sesame2]`)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{next}, 0, "usable layout"},
		{[]string{next, "--against", held}, 0, `stopped: account "t1": 1 of its 2 keys removed`},
		{[]string{next, "--against", held, "--json"}, 0, `"kind": "stopped"`},
		{[]string{held, "--against", next}, 1, "refused: version 1 is not above version 2"},
		{[]string{held, "--against", next, "--json"}, 1, `"kind": "refused"`},
		{[]string{broken}, 1, "refused: line 2: the document is not valid JSON"},
		{[]string{next, "--against", broken}, 1, "line 2: the document is not valid JSON"},
		{[]string{filepath.Join(folder, "none")}, 1, "no such file"},
	} {
		cmd := exec.Command(binary, append([]string{"check", "--kind", "layout"}, c.args...)...)
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, cmd.ProcessState.ExitCode(), c.code, "%v: %s", c.args, out)
		assert.Assert(t, strings.Contains(string(out), c.want), "%v: %s", c.args, out)
		assert.Assert(t, !strings.Contains(string(out), "sesame"), "%s", out)
	}
}
