// Package logging implements the program's log handler. Its format and level can be changed while loggers
// use it.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
)

// Handler writes records to one writer, in the format and at the level that were set last. It is safe for
// concurrent use.
type Handler struct {
	out io.Writer
	// current has the current format and level. All handlers that are derived from each other share it.
	current *atomic.Pointer[slog.Handler]
	// derivations add the attributes and groups of this handler to current.
	derivations []func(slog.Handler) slog.Handler
}

// New returns a handler with the format text and the level info, which are the defaults of the operations
// file.
func New(out io.Writer) *Handler {
	h := &Handler{out: out, current: new(atomic.Pointer[slog.Handler])}
	text := slog.Handler(slog.NewTextHandler(out, nil))
	h.current.Store(&text)
	return h
}

// Set changes the format and the level of this handler and of all that share its current handler. An invalid
// value changes nothing.
func (h *Handler) Set(l opsconfig.Log) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	opts := &slog.HandlerOptions{Level: level}
	var base slog.Handler
	switch l.Format {
	case "text":
		base = slog.NewTextHandler(h.out, opts)
	case "json":
		base = slog.NewJSONHandler(h.out, opts)
	default:
		return fmt.Errorf("log: unknown format %q", l.Format)
	}
	h.current.Store(&base)
	return nil
}

// Enabled reports whether records of a level are written at present.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool {
	return (*h.current.Load()).Enabled(ctx, l)
}

// Handle writes a record in the current format.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	handler := *h.current.Load()
	for _, f := range h.derivations {
		handler = f(handler)
	}
	return handler.Handle(ctx, r)
}

// WithAttrs derives a handler with additional attributes. Later calls of Set also change the derived handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.derive(func(handler slog.Handler) slog.Handler { return handler.WithAttrs(attrs) })
}

// WithGroup derives a handler with a group. Later calls of Set also change the derived handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return h.derive(func(handler slog.Handler) slog.Handler { return handler.WithGroup(name) })
}

func (h *Handler) derive(f func(slog.Handler) slog.Handler) slog.Handler {
	return &Handler{
		out: h.out, current: h.current, derivations: append(h.derivations[:len(h.derivations):len(h.derivations)], f),
	}
}
