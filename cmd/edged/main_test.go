package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

const (
	// hangupStarts is how many processes get SIGHUP as they start.
	hangupStarts = 50
	// maxHangupStarts bounds the processes that are started. One that reads its settings before this process is
	// scheduled again gets no signal and counts for nothing.
	maxHangupStarts = 10 * hangupStarts
)

// A process never dies of SIGHUP once its first code has run. The signal is sent again and again, from when the kernel
// shows that the process ignores or handles it until the process reads its settings. They are empty, so that it exits.
func TestHangupDuringStart(t *testing.T) {
	program := filepath.Join(t.TempDir(), "edged")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", output)
	settingsPipe := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(settingsPipe, 0o600))
	signaled := 0
	for start := 0; signaled < hangupStarts; start++ {
		require.Less(t, start, maxHangupStarts, "%d processes got SIGHUP", signaled)
		process := exec.Command(program, "run")
		process.Env = append(os.Environ(), settings.EnvironmentVariable+"="+settingsPipe)
		require.NoError(t, process.Start())
		sent := sendHangupsUntilOpened(t, process.Process.Pid, settingsPipe)
		_ = process.Wait()
		require.Equal(t, exitFailed, process.ProcessState.ExitCode(), "start %d, SIGHUP sent %d times: %v", start, sent, process.ProcessState)
		if sent > 0 {
			signaled++
		}
	}
}

// sendHangupsUntilOpened sends SIGHUP to a child process, except while the signal would end it, until the process has
// opened a pipe to read from it, or has ended. It returns how many signals it sent.
func sendHangupsUntilOpened(t *testing.T, pid int, pipe string) (sent int) {
	for {
		dies, running := diesOfHangup(t, pid)
		if !running {
			return sent
		}
		if !dies {
			require.NoError(t, syscall.Kill(pid, syscall.SIGHUP))
			sent++
		}
		// Without a reader, opening fails at once.
		writer, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			require.NoError(t, writer.Close())
			return sent
		}
	}
}

// diesOfHangup reports whether SIGHUP has its default effect on a child process, which is to end it, and whether the
// process is still running. It reads the process's sets of ignored and handled signals.
func diesOfHangup(t *testing.T, pid int) (dies, running bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err, "the process is not waited for yet")
	dies = true
	for line := range strings.Lines(string(status)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		switch key {
		case "State":
			if strings.HasPrefix(strings.TrimSpace(value), "Z") {
				return false, false
			}
		case "SigIgn", "SigCgt":
			signals, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
			require.NoError(t, err)
			dies = dies && signals&(1<<(syscall.SIGHUP-1)) == 0
		}
	}
	return dies, true
}
