package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the tests. With PROCS_AS it acts as a process of a group, or as a laboratory that starts one.
func TestMain(m *testing.M) {
	switch os.Getenv("PROCS_AS") {
	case "child":
		select {}
	case "lab":
		g := NewGroup()
		p, err := g.Start(spec(os.Getenv("PROCS_LOG"), "child"))
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(p.Pid)
		select {}
	}
	os.Exit(m.Run())
}

func spec(log, role string) Spec {
	return Spec{Name: role, Path: os.Args[0], Env: []string{"PROCS_AS=" + role, "PROCS_LOG=" + log}, Log: log}
}

func start(t *testing.T, g *Group) *Proc {
	t.Helper()
	p, err := g.Start(spec(filepath.Join(t.TempDir(), "log"), "child"))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// state returns the kernel's letter for the state of a process; "" if there is no such process.
func state(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return rest[:1]
}

func await(t *testing.T, event string, occurred func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !occurred(); {
		if time.Now().After(end) {
			t.Fatal(event, "did not occur")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestCloseEndsAllProcesses(t *testing.T) {
	g := NewGroup()
	a, b := start(t, g), start(t, g)
	if err := b.Stop(); err != nil {
		t.Fatal(err)
	}
	await(t, "a stop", func() bool { return state(b.Pid) == "T" })
	g.Close()
	g.Close()
	for _, p := range []*Proc{a, b} {
		if p.Err() == nil || state(p.Pid) != "" {
			t.Errorf("process %d still exists, %v", p.Pid, p.err)
		}
	}
	if _, err := g.Start(spec(os.DevNull, "child")); err == nil {
		t.Error("a closed group started a process")
	}
}

func TestStopContinueTerminate(t *testing.T) {
	g := NewGroup()
	defer g.Close()
	p := start(t, g)
	if err := p.Stop(); err != nil {
		t.Fatal(err)
	}
	await(t, "a stop", func() bool { return state(p.Pid) == "T" })
	if err := p.Continue(); err != nil {
		t.Fatal(err)
	}
	await(t, "its continuation", func() bool { return state(p.Pid) != "T" })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var exit *exec.ExitError
	if err := p.Terminate(ctx); !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
		t.Errorf("%v, want an end by SIGTERM", err)
	}
	if err := p.Signal(syscall.SIGTERM); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("a signal to an ended process: %v", err)
	}
}

// TestNoProcessOutlivesTheLaboratory checks that the processes are killed if the laboratory is.
func TestNoProcessOutlivesTheLaboratory(t *testing.T) {
	lab := exec.Command(os.Args[0])
	lab.Env = spec(filepath.Join(t.TempDir(), "log"), "lab").Env
	out, err := lab.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil || state(pid) == "" {
		t.Fatalf("%q, %v", line, err)
	}
	if err := lab.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = lab.Wait()
	await(t, "the end of its process", func() bool { s := state(pid); return s == "" || s == "Z" })
}
