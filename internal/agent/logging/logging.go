// Package logging is the program's log handler: text or JSON, at a level, both changeable while
// loggers made of it are in use.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
)

// Handler writes to one writer as it was last set. It is safe for concurrent use.
type Handler struct {
	out         io.Writer
	current     *atomic.Pointer[slog.Handler] // shared with all handlers derived from it
	derivations []func(slog.Handler) slog.Handler
}

// New returns a handler of text at level info, as the agent logs without an operations file.
func New(out io.Writer) *Handler {
	h := &Handler{out: out, current: new(atomic.Pointer[slog.Handler])}
	text := slog.Handler(slog.NewTextHandler(out, nil))
	h.current.Store(&text)
	return h
}

// Set changes format and level, also for the handlers derived from it.
func (h *Handler) Set(l opsconfig.Log) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	opts := &slog.HandlerOptions{Level: level}
	var base slog.Handler
	switch l.Format {
	case "text":
		base = slog.NewTextHandler(h.out, opts)
	case "json":
		base = slog.NewJSONHandler(h.out, opts)
	default:
		return fmt.Errorf("logs: unknown format %q", l.Format)
	}
	h.current.Store(&base)
	return nil
}

// Enabled tells whether the level is written now.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool {
	return (*h.current.Load()).Enabled(ctx, l)
}

// Handle writes a record in the format of now.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	to := *h.current.Load()
	for _, f := range h.derivations {
		to = f(to)
	}
	return to.Handle(ctx, r)
}

// WithAttrs derives a handler that follows later changes, too.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.derive(func(to slog.Handler) slog.Handler { return to.WithAttrs(attrs) })
}

// WithGroup derives a handler that follows later changes, too.
func (h *Handler) WithGroup(name string) slog.Handler {
	return h.derive(func(to slog.Handler) slog.Handler { return to.WithGroup(name) })
}

func (h *Handler) derive(f func(slog.Handler) slog.Handler) slog.Handler {
	return &Handler{out: h.out, current: h.current, derivations: append(h.derivations[:len(h.derivations):len(h.derivations)], f)}
}
