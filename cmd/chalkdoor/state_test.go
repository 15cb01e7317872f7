package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// agentProcess is a running agent with an operations file.
type agentProcess struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Reader
}

// startAgent starts an agent with the operations file at a path.
func startAgent(t *testing.T, ops string) *agentProcess {
	t.Helper()
	cmd := exec.Command(os.Args[0], "agent", "--ops", ops)
	cmd.Env = append(os.Environ(), "CHALKDOOR_AS_PROGRAM=1",
		"PROXY_CONFIG=", "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return &agentProcess{t, cmd, bufio.NewReader(stderr)}
}

// next returns the next line of the log with the given message.
func (process *agentProcess) next(msg string) string {
	process.t.Helper()
	for {
		line, err := process.log.ReadString('\n')
		if err != nil {
			process.t.Fatalf("no line %q: %v", msg, err)
		}
		if strings.Contains(line, fmt.Sprintf("msg=%q", msg)) {
			return line
		}
	}
}

// end sends a signal and waits until the process has ended.
func (process *agentProcess) end(s syscall.Signal) error {
	process.t.Helper()
	if err := process.cmd.Process.Signal(s); err != nil {
		process.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, process.log); err != nil {
		process.t.Fatal(err)
	}
	return process.cmd.Wait()
}

// After SIGTERM an agent is restarted with the state that it had at its end, and after SIGKILL with the state
// that it saved last. It starts whatever its directory contains, and logs which data it rejects.
func TestStateIsRestoredAfterRestarts(t *testing.T) {
	dir := t.TempDir()
	config, opsFile, stateDir :=
		filepath.Join(dir, "config.json"), filepath.Join(dir, "ops.toml"), filepath.Join(dir, "state")
	for path, text := range map[string]string{
		config: `{"name":"n7","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:2","zone":"east","kind":"big","state":"up","weight":1}]},"settings":` + settings + `}`,
		opsFile: "[agent]\nconfig = \"" + config + "\"\n[state]\ndir = \"" + stateDir + "\"\nevery = \"100ms\"\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	process := startAgent(t, opsFile)
	process.next("no state to restore")
	if err := process.end(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	process = startAgent(t, opsFile)
	if line := process.next("state restored"); !strings.Contains(line, "servers=1") ||
		!strings.Contains(line, "boot=2") {
		t.Errorf("second run: %s", line)
	}
	// Another agent can't use the directory, and runs without one.
	other := startAgent(t, opsFile)
	if line := other.next("state directory not usable, no state is saved"); !strings.Contains(line,
		"used by another process") {
		t.Errorf("another agent: %s", line)
	}
	if err := other.end(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := process.end(syscall.SIGKILL); err == nil {
		t.Error("the killed agent ended without an error")
	}
	var out strings.Builder
	if status := command([]string{"state", "verify", stateDir}, &out, &out); status != 0 ||
		!strings.Contains(out.String(), "1 servers") {
		t.Errorf("verify: %d, %s", status, out.String())
	}
	process = startAgent(t, opsFile)
	process.next("state restored")
	if err := process.end(syscall.SIGKILL); err == nil {
		t.Error("the killed agent ended without an error")
	}
	if err := os.WriteFile(filepath.Join(stateDir, "state.db"),
		[]byte(strings.Repeat("noise", 9999)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, sub := range []string{"verify", "show", "export"} {
		if status := command([]string{"state", sub, stateDir}, io.Discard, io.Discard); status != 1 {
			t.Errorf("%s of a damaged file: status %d", sub, status)
		}
	}
	process = startAgent(t, opsFile)
	process.next("stored state rejected")
	process.next("no state to restore")
	if err := process.end(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ sub, want string }{
		{"verify", "1 servers"}, {"show", "unknown"}, {"export", `"StartedMs"`}, {"repair", "is kept"},
	} {
		out.Reset()
		if status := command([]string{"state", c.sub, stateDir}, &out, &out); status != 0 ||
			!strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %d, %s", c.sub, status, out.String())
		}
	}
}
