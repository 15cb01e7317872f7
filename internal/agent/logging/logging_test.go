package logging

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
)

func TestSetChangesDerivedLoggers(t *testing.T) {
	var out bytes.Buffer
	h := New(&out)
	log := slog.New(h).With("agent", "n1").WithGroup("request").With("id", 7)
	log.Debug("unseen")
	log.Info("seen")
	if text := out.String(); !strings.Contains(text, "msg=seen agent=n1 request.id=7") ||
		strings.Contains(text, "unseen") {
		t.Fatalf("text: %q", text)
	}
	out.Reset()
	if err := h.Set(opsconfig.Log{Format: "json", Level: "debug"}); err != nil {
		t.Fatal(err)
	}
	log.Debug("now seen")
	var line struct {
		Msg, Agent string
		Request    struct{ ID int }
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Msg != "now seen" || line.Agent != "n1" ||
		line.Request.ID != 7 {
		t.Errorf("json: %q, %v", out.String(), err)
	}
}

func TestInvalidSettingsChangeNothing(t *testing.T) {
	var out bytes.Buffer
	h := New(&out)
	for _, l := range []opsconfig.Log{{Format: "xml", Level: "debug"}, {Format: "json", Level: "loud"}} {
		if err := h.Set(l); err == nil {
			t.Errorf("%+v was accepted", l)
		}
	}
	slog.New(h).Debug("x")
	slog.New(h).Info("y")
	if text := out.String(); !strings.Contains(text, "level=INFO msg=y") || strings.Contains(text, "msg=x") {
		t.Errorf("log after the invalid settings: %q", text)
	}
}
