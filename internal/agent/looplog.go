package agent

import "log/slog"

// log queues a line for the log. It drops the line if there are too many, and never blocks.
func (l *eventLoop) log(level slog.Level, text string, args ...any) {
	if !l.logLimiter.Allow() {
		return
	}
	select {
	case l.logLines <- func() { slog.Log(l.ctx, level, text, args...) }:
	default:
	}
}

// writeLog writes the loop's log lines until the loop ends. The loop does not write them itself: if nobody reads
// the log, a write blocks, and would block every request.
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
