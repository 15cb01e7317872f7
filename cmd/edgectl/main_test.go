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

// fakeAgent is a controlapi.Backend that stores one configuration.
type fakeAgent struct {
	mu                sync.Mutex
	document          *config.Document
	revision          int64
	unansweredSubmits int    // number of next submissions that are committed but not answered
	lastBody          []byte // of the last committed submission
}

func (a *fakeAgent) Heartbeat(context.Context, *controlapi.Heartbeat) (controlapi.HeartbeatResponse, error) {
	return controlapi.HeartbeatResponse{}, nil
}
func (a *fakeAgent) Deregister(context.Context, string, uint64) error { return nil }

func (a *fakeAgent) Submit(_ context.Context, patch bool, ifMatch int64, body []byte) controlapi.SubmitResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if bytes.Equal(body, a.lastBody) {
		return controlapi.SubmitResult{Outcome: controlapi.OutcomeCommitted, Revision: a.revision}
	}
	if ifMatch != a.revision {
		return controlapi.SubmitResult{
			Outcome: controlapi.OutcomeConflict,
			Reason:  fmt.Sprint("version ", a.revision, " is current"),
		}
	}
	next, err := a.document.Apply(patch, body)
	if err != nil {
		return controlapi.SubmitResult{Outcome: controlapi.OutcomeInvalid, Reason: err.Error()}
	}
	a.document, a.revision, a.lastBody = next, next.Revision, body
	if a.unansweredSubmits > 0 {
		a.unansweredSubmits--
		return controlapi.SubmitResult{Reason: "no answer from the tail"}
	}
	return controlapi.SubmitResult{Outcome: controlapi.OutcomeCommitted, Revision: next.Revision}
}

func (a *fakeAgent) Config(context.Context) ([]byte, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.document == nil {
		return nil, false, nil
	}
	return a.document.Raw(), true, nil
}

func (a *fakeAgent) Inspect(_ context.Context, resource string) (any, error) {
	switch resource {
	case "members":
		return []map[string]any{
			{"name": "edge-1", "age-ms": 12},
			{"name": "edge\t2\x1b", "age-ms": 3.5, "zones": []string{"a", "b"}},
		}, nil
	case "view":
		return map[string]any{
			"number": 3, "chain": []string{"a", "b"}, "voters": []map[string]any{{"disk": "d1"}},
			"why": nil, "at": map[string]any{"age-ms": 4},
		}, nil
	}
	return nil, apierror.New(apierror.Unavailable, "", "", "no %s", resource)
}

// startAgent serves backend on a loopback port until the test ends, and returns its address.
func startAgent(t *testing.T, backend controlapi.Backend) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- controlapi.NewServer(backend, controlapi.Options{}).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return listener.Addr().String()
}

// unreachableAddress returns an address at which nothing listens.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// runCommand runs one command line of edgectl and returns its exit status, standard output and standard error.
func runCommand(t *testing.T, stdin string, args ...string) (status int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = run(t.Context(), args, strings.NewReader(stdin), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const exampleJSON = `{"revision":3, "note":1.0,"routes":[{"name":"r","hostname":"h.example","path-prefix":"/","timeout-ms":5,"target-service":"s"}],"services":[{"name":"s"}]}`

const exampleTOML = `revision = 3
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

func TestPutPatchAndGetConfig(t *testing.T) {
	address := startAgent(t, &fakeAgent{})
	t.Setenv("CHALKDOOR_AGENTS", address)
	status, _, errs := runCommand(t, "", "config", "get")
	assert.Equal(t, exitNotFound, status, errs)
	status, out, errs := runCommand(t, "", "--agent", unreachableAddress(t), "--agent", address,
		"config", "put", writeFile(t, "c.json", exampleJSON), "--if-match", "0")
	require.Equal(t, exitOK, status, errs)
	assert.Equal(t, "revision 3 is taken, on top of 0\n", out)
	status, out, _ = runCommand(t, "", "config", "get")
	assert.Equal(t, exitOK, status)
	assert.Equal(t, exampleJSON+"\n", out)
	status, out, _ = runCommand(t, `{"revision":4,"upsert":{"services":[{"name":"s2"}]}}`,
		"--json", "config", "patch", "-")
	assert.Equal(t, exitOK, status)
	assert.JSONEq(t, `{"revision":4,"on":3}`, out)

	status, _, errs = runCommand(t, `{"revision":5}`, "config", "patch", "-", "--if-match", "3")
	assert.Equal(t, exitConflict, status)
	assert.Contains(t, errs, "version 4 is current (412); read the configuration anew")
	status, _, errs = runCommand(t, `{"revision":5,"remove":{"services":["s"]}}`, "--json", "config", "patch", "-")
	assert.Equal(t, exitInvalid, status)
	assert.Contains(t, errs, `"kind":"invalid"`)
	assert.Contains(t, errs, "routes.r.target-service")
}

func TestPutConvertsTOML(t *testing.T) {
	agent := &fakeAgent{}
	status, _, errs := runCommand(t, "", "--agent", startAgent(t, agent),
		"config", "put", writeFile(t, "c.toml", exampleTOML))
	require.Equal(t, exitOK, status, errs)
	assert.JSONEq(t, `{"revision":3,"routes":[{"name":"r","hostname":"h.example","path-prefix":"/","timeout-ms":5,"gap_aim_ms":300,"target-service":"s"}],"services":[{"name":"s"}],"x.y":{"a.b":1.5}}`, string(agent.document.Raw()))
	status, _, _ = runCommand(t, "", "config", "check", writeFile(t, "c.toml", "revision = ["))
	assert.Equal(t, exitInvalid, status)
	status, _, _ = runCommand(t, "", "config", "check", writeFile(t, "c.toml", exampleTOML+"bad = nan"))
	assert.Equal(t, exitInvalid, status)
}

func TestUnansweredSubmitIsRetried(t *testing.T) {
	agent := &fakeAgent{unansweredSubmits: 1}
	address := startAgent(t, agent)
	status, out, errs := runCommand(t, "", "--agent", address, "--agent", address,
		"config", "put", writeFile(t, "c.json", exampleJSON))
	require.Equal(t, exitOK, status, errs)
	assert.Equal(t, "revision 3 is taken, on top of 0\n", out)
}

func TestUnreachableAgents(t *testing.T) {
	for _, args := range [][]string{{"config", "get"}, {"config", "put", "-"}, {"members"}, {"view", "--each"}} {
		status, _, errs := runCommand(t, exampleJSON,
			append([]string{"--agent", unreachableAddress(t), "--timeout", "20ms"}, args...)...)
		assert.Equal(t, exitUnavailable, status, args)
		assert.Contains(t, errs, "edgectl: ")
	}
}

func TestCheckReportsKeyAndRemedy(t *testing.T) {
	path := writeFile(t, "c.json", exampleJSON)
	status, out, _ := runCommand(t, "", "config", "check", path)
	assert.Equal(t, exitOK, status)
	assert.Equal(t, path+" is sound: revision 3, routes: 1, services: 1\n", out)
	status, out, _ = runCommand(t, exampleJSON, "--json", "config", "check", "-")
	assert.Equal(t, exitOK, status)
	assert.JSONEq(t, `{"revision":3,"routes":1,"services":1}`, out)
	status, _, errs := runCommand(t, strings.Replace(exampleJSON, `"timeout-ms":5`, `"timeout-ms":0`, 1),
		"config", "check", "-")
	assert.Equal(t, exitInvalid, status)
	assert.Equal(t, "edgectl: -.routes.r.timeout-ms: it is 0; give more than 0\n", errs)
	status, _, errs = runCommand(t, exampleJSON, "config", "check", "-", "--on", path)
	assert.Equal(t, exitInvalid, status)
	assert.Contains(t, errs, "revision: it is 3 and the current one is 3; give a higher one")
	status, _, _ = runCommand(t, `{"revision":9}`, "config", "check", "-", "--patch", "--on", path)
	assert.Equal(t, exitOK, status)

	agent := &fakeAgent{}
	address := startAgent(t, agent)
	agent.Submit(t.Context(), false, 0, []byte(exampleJSON))
	status, _, errs = runCommand(t, `{"revision":9}`, "--agent", address, "config", "check", "-", "--patch")
	assert.Equal(t, exitOK, status, errs)
}

func TestInspectPrintsTables(t *testing.T) {
	address := startAgent(t, &fakeAgent{})
	status, out, errs := runCommand(t, "", "--agent", address, "members")
	require.Equal(t, exitOK, status, errs)
	assert.Equal(t, "age-ms  name     zones\n12      edge-1   \n3.5     edge?2?  a,b\n", out)
	status, out, _ = runCommand(t, "", "--agent", address, "view")
	assert.Equal(t, exitOK, status)
	assert.Equal(t, "chain   a,b\nnumber  3\nwhy     -\nat:\n  age-ms  4\nvoters:\n  disk\n  d1\n", out)
	status, out, _ = runCommand(t, "", "--agent", address, "--json", "view")
	assert.Equal(t, exitOK, status)
	assert.JSONEq(t, `{"number":3,"chain":["a","b"],"voters":[{"disk":"d1"}],"why":null,"at":{"age-ms":4}}`, out)

	status, out, _ = runCommand(t, "", "--agent", address, "--agent", unreachableAddress(t),
		"--timeout", "100ms", "--json", "view", "--each")
	assert.Equal(t, exitUnavailable, status)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 2)
	var first struct {
		Agent string
		View  map[string]any
	}
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &first))
	assert.Equal(t, address, first.Agent)
	assert.Equal(t, 3.0, first.View["number"])
	assert.Contains(t, lines[1], `"error":`)
	status, out, _ = runCommand(t, "", "--agent", address, "view", "--each")
	assert.Equal(t, exitOK, status)
	assert.True(t, strings.HasPrefix(out, "# "+address+"\nchain   a,b\n"), out)
}

func TestVerifyState(t *testing.T) {
	dir := t.TempDir()
	status, out, errs := runCommand(t, "", "--json", "state", "verify", dir)
	require.Equal(t, exitOK, status, errs)
	var report store.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	assert.False(t, report.Damaged)
	status, _, _ = runCommand(t, "", "state", "verify", filepath.Join(dir, "none"))
	assert.Equal(t, exitUsage, status)
}

func TestUsageErrors(t *testing.T) {
	t.Setenv("CHALKDOOR_NODE_FILE", writeFile(t, "none.toml", "x"))
	for _, args := range [][]string{
		{}, {"config"}, {"config", "put"}, {"config", "put", "/none"},
		{"--timeout", "x", "view"}, {"secrets"}, {"view"},
	} {
		status, _, errs := runCommand(t, "", args...)
		assert.Equal(t, exitUsage, status, args)
		assert.NotEmpty(t, errs)
	}
	status, out, _ := runCommand(t, "", "--help")
	assert.Equal(t, exitOK, status)
	assert.Contains(t, out, "Exit statuses")
	status, out, _ = runCommand(t, "", "version")
	assert.Equal(t, exitOK, status)
	assert.Contains(t, out, "edgectl ")
}

func TestAgentsOfSettingsFile(t *testing.T) {
	address := startAgent(t, &fakeAgent{})
	t.Setenv("CHALKDOOR_NODE_FILE", writeFile(t, "local.toml", fmt.Sprintf(`node-name = "n"
ip = "127.0.0.1"
zone = "z"
port-range = [7300, 7301]
served-roles = ["control"]
seed-nodes = [%q]
[listen]
control = %q
`, address, unreachableAddress(t))))
	status, out, errs := runCommand(t, "", "view")
	assert.Equal(t, exitOK, status, errs)
	assert.Contains(t, out, "number  3")
}
