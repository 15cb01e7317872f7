package coordination

import (
	"bufio"
	"encoding/json"
	"log/slog"
	"os"
	"sync"
	"time"
)

// TraceLine is one line of a trace file, in JSON. It describes a step of the vote task or of the site task. Times
// are wall-clock times in Unix milliseconds, so that the traces of several agents can be compared; no decision
// depends on them.
//
// Two kinds of lines use fields with a different meaning than their names say. In a line of kind "zones", which is a
// new decision of the consensus group, Electorate is the log index, Attempts the number of zones of which this
// site's agents use nothing, Failures the number of zones that they do not use fully, and RemainingMs the
// decision's age. In a line for a change of the site's phase, Attempts is the number of members without a
// signal from outside.
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
	mu          sync.Mutex
	file        *os.File
	out         *bufio.Writer
	agent       string
	incarnation uint64 // incarnation of the agent
}

// write appends a step that happened at the time at. Both times are on the coordinator's clock.
func (t *tracer) write(line TraceLine, at, now time.Duration) {
	if t == nil {
		return
	}
	line.Agent, line.AgentIncarnation, line.AtMs = t.agent, t.incarnation, time.Now().Add(at-now).UnixMilli()
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

// close closes the trace file.
func (t *tracer) close() {
	if t != nil {
		t.file.Close()
	}
}

// openTrace opens a trace file to append to it.
func openTrace(path, name string, incarnation uint64) (*tracer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &tracer{file: f, out: bufio.NewWriter(f), agent: name, incarnation: incarnation}, nil
}
