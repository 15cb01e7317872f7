package controlsim

import "time"

// processor describes how long a machine's one processor takes for the input and output of its process. The zero value
// takes no time.
type processor struct {
	perOperation time.Duration // for each read and each write
	perKiB       time.Duration // for the bytes of a read or a write, in addition
}

// workLocked executes a read or a write of a host's process on its processor, after all earlier ones. It releases the
// network's lock while it waits.
func (h *host) workLocked(bytes int) {
	work := h.processor.perOperation + time.Duration(bytes)*h.processor.perKiB/1024
	if work == 0 {
		return
	}
	now := time.Now()
	if h.processorFreeAt.Before(now) {
		h.processorFreeAt = now
	}
	h.processorFreeAt = h.processorFreeAt.Add(work)
	remaining := h.processorFreeAt.Sub(now)
	h.network.mu.Unlock()
	defer h.network.mu.Lock()
	time.Sleep(remaining)
}
