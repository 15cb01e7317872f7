package coordination

import (
	"bufio"
	"encoding/json"
	"log/slog"
	"os"
	"sync"
	"time"
)

// TraceLine is a step of the vote or of the site in a trace file, a line of JSON. Times are wall-clock times
// in Unix ms, so that traces of several agents can be compared; no decision depends on them. A step of
// kind zones is a new decision of the consensus group: Electorate is its log index, Attempts the number
// of zones without a share for this site, Failures those with a reduced one, RemainingMs its age.
type TraceLine struct {
	AtMs             int64    `json:"at_ms"`
	Agent            string   `json:"agent"`
	AgentIncarnation uint64   `json:"boot"`
	Kind             string   `json:"kind"`
	Host             string   `json:"host"`
	Incarnation      int64    `json:"incarnation"`
	Reason           string   `json:"why"`
	Electorate       uint64   `json:"roll"`
	Attempts         int      `json:"attempts"`
	Failures         int      `json:"bad"`
	Granters         []string `json:"granters,omitempty"`
	RemainingMs      int64    `json:"left_ms,omitempty"`
}

// tracer writes a trace; a nil tracer discards it. It is safe for concurrent use.
type tracer struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	agent string
	boot  uint64
}

// write appends a step that happened at a time of the coordinator's clock.
func (t *tracer) write(line TraceLine, at, now time.Duration) {
	if t == nil {
		return
	}
	line.Agent, line.AgentIncarnation, line.AtMs = t.agent, t.boot, time.Now().Add(at-now).UnixMilli()
	t.mu.Lock()
	defer t.mu.Unlock()
	text, err := json.Marshal(line)
	if err == nil {
		_, err = t.out.Write(append(text, '\n'))
	}
	if err == nil {
		err = t.out.Flush()
	}
	if err != nil {
		slog.Warn("trace not written", "err", err)
	}
}

func (t *tracer) close() {
	if t != nil {
		t.file.Close()
	}
}

func openTrace(path, name string, boot uint64) (*tracer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &tracer{file: f, out: bufio.NewWriter(f), agent: name, boot: boot}, nil
}
