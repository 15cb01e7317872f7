package agent

import "log/slog"

// log writes a line to the log, unless there are too many. It never blocks.
func (l *eventLoop) log(level slog.Level, text string, args ...any) {
	if !l.logLimiter.Allow() {
		return
	}
	select {
	case l.logLines <- func() { slog.Log(l.ctx, level, text, args...) }:
	default:
	}
}

// writeLog writes the loop's log lines until the loop ends. The loop does not write itself: a log that nobody
// reads blocks its writer, and every request with it.
func (l *eventLoop) writeLog() {
	for {
		select {
		case line := <-l.logLines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}
