package inference

import (
	"slices"
	"time"
)

// maxQueuedPrefills bounds the number of queue entries. The work of further prompts is added to the
// last entry.
const maxQueuedPrefills = 64

// prefillQueue holds the prompts that a server has to prefill, in order of arrival. It models a server
// that prefills one prompt after the other, none before its arrival.
type prefillQueue struct {
	jobs       []queuedPrefill
	advancedTo time.Duration // time up to which prefilled work is subtracted
	lastID     uint64
}

// queuedPrefill is one prompt of a prefillQueue.
type queuedPrefill struct {
	id          uint64
	arrivedAt   time.Duration
	remainingMs float64 // prefill work that remains
}

// push adds a prompt with the time of its arrival, which may be in the past, and returns its ID.
func (q *prefillQueue) push(arrivedAt time.Duration, workMs float64) uint64 {
	if n := len(q.jobs); n >= maxQueuedPrefills {
		q.jobs[n-1].remainingMs += workMs
		return q.jobs[n-1].id
	}
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].arrivedAt > arrivedAt {
		i--
	}
	q.lastID++
	q.jobs = slices.Insert(q.jobs, i, queuedPrefill{q.lastID, arrivedAt, workMs})
	return q.lastID
}

// backlogMs returns the total work that remains, counting at most maxEachMs of each prompt.
func (q *prefillQueue) backlogMs(now time.Duration, maxEachMs float64) (sum float64) {
	q.advance(now)
	for i := range q.jobs {
		sum += min(q.jobs[i].remainingMs, maxEachMs)
	}
	return sum
}

// len returns the number of prompts that remain.
func (q *prefillQueue) len(now time.Duration) int {
	q.advance(now)
	return len(q.jobs)
}

// complete removes a prompt that was prefilled or whose request ended. If inOrder is set, it also
// removes all prompts before it.
func (q *prefillQueue) complete(id uint64, inOrder bool) {
	i := slices.IndexFunc(q.jobs, func(job queuedPrefill) bool { return job.id == id })
	switch {
	case i < 0:
	case inOrder:
		q.jobs = slices.Delete(q.jobs, 0, i+1)
	default:
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

// advance subtracts the work that was done up to now, and removes the prompts without remaining work.
func (q *prefillQueue) advance(now time.Duration) {
	done := 0
	for ; done < len(q.jobs); done++ {
		job := &q.jobs[done]
		begin := max(q.advancedTo, job.arrivedAt)
		if passedMs := millis(now - begin); passedMs < job.remainingMs {
			job.remainingMs -= max(passedMs, 0)
			break
		}
		q.advancedTo = begin + duration(job.remainingMs)
	}
	if done > 0 {
		q.jobs = slices.Delete(q.jobs, 0, done)
	}
	q.advancedTo = max(q.advancedTo, now)
}
