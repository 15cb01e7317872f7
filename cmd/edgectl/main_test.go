package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// register is a plane that keeps one configuration.
type register struct {
	mu       sync.Mutex
	doc      *config.Document
	revision int64
	unclear  int // so many orders are taken without an answer
	last     []byte
}

func (r *register) Heartbeat(context.Context, *controlapi.Heartbeat) (controlapi.HeartbeatResponse, error) {
	return controlapi.HeartbeatResponse{}, nil
}
func (r *register) Deregister(context.Context, string, uint64) error { return nil }

func (r *register) Submit(_ context.Context, patch bool, ifMatch int64, body []byte) controlapi.SubmitResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes.Equal(body, r.last) {
		return controlapi.SubmitResult{Outcome: controlapi.OutcomeCommitted, Revision: r.revision}
	}
	if ifMatch != r.revision {
		return controlapi.SubmitResult{Outcome: controlapi.OutcomeConflict, Reason: fmt.Sprint("version ", r.revision, " is current")}
	}
	next, err := r.doc.Apply(patch, body)
	if err != nil {
		return controlapi.SubmitResult{Outcome: controlapi.OutcomeInvalid, Reason: err.Error()}
	}
	r.doc, r.revision, r.last = next, next.Revision, body
	if r.unclear > 0 {
		r.unclear--
		return controlapi.SubmitResult{Reason: "no answer from the tail"}
	}
	return controlapi.SubmitResult{Outcome: controlapi.OutcomeCommitted, Revision: next.Revision}
}

func (r *register) Config(context.Context) ([]byte, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.doc == nil {
		return nil, false, nil
	}
	return r.doc.Raw(), true, nil
}

func (r *register) Inspect(_ context.Context, what string) (any, error) {
	switch what {
	case "members":
		return []map[string]any{{"name": "edge-1", "age-ms": 12}, {"name": "edge\t2\x1b", "age-ms": 3.5, "zones": []string{"a", "b"}}}, nil
	case "view":
		return map[string]any{"number": 3, "chain": []string{"a", "b"}, "voters": []map[string]any{{"disk": "d1"}}, "why": nil, "at": map[string]any{"age-ms": 4}}, nil
	}
	return nil, apierror.New(apierror.Unavailable, "", "", "no %s", what)
}

func start(t *testing.T, p controlapi.Backend) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- controlapi.NewServer(p, controlapi.Options{}).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return ln.Addr().String()
}

func dead(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func edgectl(t *testing.T, stdin string, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	status = run(t.Context(), args, strings.NewReader(stdin), &o, &e)
	return status, o.String(), e.String()
}

func file(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(p, []byte(text), 0o600))
	return p
}

const whole = `{"revision":3, "note":1.0,"routes":[{"name":"r","hostname":"h.example","path-prefix":"/","timeout-ms":5,"target-service":"s"}],"services":[{"name":"s"}]}`

const wholeTOML = `revision = 3
[[routes]]
name = "r"
hostname = "h.example"
path-prefix = "/"
timeout-ms = 5
gap_aim_ms = 300
target-service = "s"
[[services]]
name = "s"
["x.y"]
"a.b" = 1.5
`

func TestConfigIsPutPatchedAndRead(t *testing.T) {
	a := start(t, &register{})
	t.Setenv("CHALKDOOR_AGENTS", a)
	status, _, errs := edgectl(t, "", "config", "get")
	assert.Equal(t, exitNotFound, status, errs)
	status, out, errs := edgectl(t, "", "--agent", dead(t), "--agent", a, "config", "put", file(t, "c.json", whole), "--if-match", "0")
	require.Equal(t, exitOK, status, errs)
	assert.Equal(t, "revision 3 is taken, on top of 0\n", out)
	status, out, _ = edgectl(t, "", "config", "get")
	assert.Equal(t, exitOK, status)
	assert.Equal(t, whole+"\n", out)
	status, out, _ = edgectl(t, `{"revision":4,"upsert":{"services":[{"name":"s2"}]}}`, "--json", "config", "patch", "-")
	assert.Equal(t, exitOK, status)
	assert.JSONEq(t, `{"revision":4,"on":3}`, out)

	status, _, errs = edgectl(t, `{"revision":5}`, "config", "patch", "-", "--if-match", "3")
	assert.Equal(t, exitConflict, status)
	assert.Contains(t, errs, "version 4 is current (412); read the configuration anew")
	status, _, errs = edgectl(t, `{"revision":5,"remove":{"services":["s"]}}`, "--json", "config", "patch", "-")
	assert.Equal(t, exitInvalid, status)
	assert.Contains(t, errs, `"kind":"invalid"`)
	assert.Contains(t, errs, "routes.r.target-service")
}

func TestTOMLIsSentAsJSON(t *testing.T) {
	reg := &register{}
	status, _, errs := edgectl(t, "", "--agent", start(t, reg), "config", "put", file(t, "c.toml", wholeTOML))
	require.Equal(t, exitOK, status, errs)
	assert.JSONEq(t, `{"revision":3,"routes":[{"name":"r","hostname":"h.example","path-prefix":"/","timeout-ms":5,"gap_aim_ms":300,"target-service":"s"}],"services":[{"name":"s"}],"x.y":{"a.b":1.5}}`, string(reg.doc.Raw()))
	status, _, _ = edgectl(t, "", "config", "check", file(t, "c.toml", "revision = ["))
	assert.Equal(t, exitInvalid, status)
	status, _, _ = edgectl(t, "", "config", "check", file(t, "c.toml", wholeTOML+"bad = nan"))
	assert.Equal(t, exitInvalid, status)
}

func TestUnclearOrdersAreSentAgain(t *testing.T) {
	reg := &register{unclear: 1}
	a := start(t, reg)
	status, out, errs := edgectl(t, "", "--agent", a, "--agent", a, "config", "put", file(t, "c.json", whole))
	require.Equal(t, exitOK, status, errs)
	assert.Equal(t, "revision 3 is taken, on top of 0\n", out)
}

func TestNoAgentAnswers(t *testing.T) {
	for _, args := range [][]string{{"config", "get"}, {"config", "put", "-"}, {"members"}, {"view", "--each"}} {
		status, _, errs := edgectl(t, whole, append([]string{"--agent", dead(t), "--timeout", "20ms"}, args...)...)
		assert.Equal(t, exitUnavailable, status, args)
		assert.Contains(t, errs, "edgectl: ")
	}
}

func TestCheckNamesKeyAndRemedy(t *testing.T) {
	c := file(t, "c.json", whole)
	status, out, _ := edgectl(t, "", "config", "check", c)
	assert.Equal(t, exitOK, status)
	assert.Equal(t, c+" is sound: revision 3, routes: 1, services: 1\n", out)
	status, out, _ = edgectl(t, whole, "--json", "config", "check", "-")
	assert.Equal(t, exitOK, status)
	assert.JSONEq(t, `{"revision":3,"routes":1,"services":1}`, out)
	status, _, errs := edgectl(t, strings.Replace(whole, `"timeout-ms":5`, `"timeout-ms":0`, 1), "config", "check", "-")
	assert.Equal(t, exitInvalid, status)
	assert.Equal(t, "edgectl: -.routes.r.timeout-ms: it is 0; give more than 0\n", errs)
	status, _, errs = edgectl(t, whole, "config", "check", "-", "--on", c)
	assert.Equal(t, exitInvalid, status)
	assert.Contains(t, errs, "revision: it is 3 and the current one is 3; give a higher one")
	status, _, _ = edgectl(t, `{"revision":9}`, "config", "check", "-", "--patch", "--on", c)
	assert.Equal(t, exitOK, status)

	reg := &register{}
	a := start(t, reg)
	reg.Submit(t.Context(), false, 0, []byte(whole))
	status, _, errs = edgectl(t, `{"revision":9}`, "--agent", a, "config", "check", "-", "--patch")
	assert.Equal(t, exitOK, status, errs)
}

func TestReadsAreTables(t *testing.T) {
	a := start(t, &register{})
	status, out, errs := edgectl(t, "", "--agent", a, "members")
	require.Equal(t, exitOK, status, errs)
	assert.Equal(t, "age-ms  name     zones\n12      edge-1   \n3.5     edge?2?  a,b\n", out)
	status, out, _ = edgectl(t, "", "--agent", a, "view")
	assert.Equal(t, exitOK, status)
	assert.Equal(t, "chain   a,b\nnumber  3\nwhy     -\nat:\n  age-ms  4\nvoters:\n  disk\n  d1\n", out)
	status, out, _ = edgectl(t, "", "--agent", a, "--json", "view")
	assert.Equal(t, exitOK, status)
	assert.JSONEq(t, `{"number":3,"chain":["a","b"],"voters":[{"disk":"d1"}],"why":null,"at":{"age-ms":4}}`, out)

	status, out, _ = edgectl(t, "", "--agent", a, "--agent", dead(t), "--timeout", "100ms", "--json", "view", "--each")
	assert.Equal(t, exitUnavailable, status)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 2)
	var first struct {
		Agent string
		View  map[string]any
	}
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &first))
	assert.Equal(t, a, first.Agent)
	assert.Equal(t, 3.0, first.View["number"])
	assert.Contains(t, lines[1], `"error":`)
	status, out, _ = edgectl(t, "", "--agent", a, "view", "--each")
	assert.Equal(t, exitOK, status)
	assert.True(t, strings.HasPrefix(out, "# "+a+"\nchain   a,b\n"), out)
}

func TestStateIsVerified(t *testing.T) {
	dir := t.TempDir()
	status, out, errs := edgectl(t, "", "--json", "state", "verify", dir)
	require.Equal(t, exitOK, status, errs)
	var rep store.Report
	require.NoError(t, json.Unmarshal([]byte(out), &rep))
	assert.False(t, rep.Damaged)
	status, _, _ = edgectl(t, "", "state", "verify", filepath.Join(dir, "none"))
	assert.Equal(t, exitUsage, status)
}

func TestCalledWrongly(t *testing.T) {
	t.Setenv("CHALKDOOR_NODE_FILE", file(t, "none.toml", "x"))
	for _, args := range [][]string{{}, {"config"}, {"config", "put"}, {"config", "put", "/none"}, {"--timeout", "x", "view"}, {"secrets"}, {"view"}} {
		status, _, errs := edgectl(t, "", args...)
		assert.Equal(t, exitUsage, status, args)
		assert.NotEmpty(t, errs)
	}
	status, out, _ := edgectl(t, "", "--help")
	assert.Equal(t, exitOK, status)
	assert.Contains(t, out, "Exit statuses")
	status, out, _ = edgectl(t, "", "version")
	assert.Equal(t, exitOK, status)
	assert.Contains(t, out, "edgectl ")
}

func TestSettingsFileNamesAgents(t *testing.T) {
	a := start(t, &register{})
	t.Setenv("CHALKDOOR_NODE_FILE", file(t, "local.toml", fmt.Sprintf(`node-name = "n"
ip = "127.0.0.1"
zone = "z"
port-range = [7300, 7301]
served-roles = ["control"]
seed-nodes = [%q]
[listen]
control = %q
`, a, dead(t))))
	status, out, errs := edgectl(t, "", "view")
	assert.Equal(t, exitOK, status, errs)
	assert.Contains(t, out, "number  3")
}
