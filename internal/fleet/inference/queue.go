package inference

import (
	"slices"
	"time"
)

// maxQueuedPrefills bounds the prompts known one by one; what comes beyond it is taken into the last.
const maxQueuedPrefills = 64

// prefillQueue is the prompts that a server has to read, in the order they came: it reads one after
// the other, each from its arrival on at the earliest.
type prefillQueue struct {
	jobs       []queuedPrefill
	advancedTo time.Duration // up to when jobs are worked off
	lastID     uint64
}

type queuedPrefill struct {
	id          uint64
	arrivedAt   time.Duration
	remainingMs float64 // ms that are left
}

// push puts a prompt that came at the time given, and returns its number.
func (q *prefillQueue) push(at time.Duration, work float64) uint64 {
	if n := len(q.jobs); n >= maxQueuedPrefills {
		q.jobs[n-1].remainingMs += work
		return q.jobs[n-1].id
	}
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].arrivedAt > at {
		i--
	}
	q.lastID++
	q.jobs = slices.Insert(q.jobs, i, queuedPrefill{q.lastID, at, work})
	return q.lastID
}

// backlogMs is the work in ms that is left, of no job more than so much.
func (q *prefillQueue) backlogMs(now time.Duration, most float64) (sum float64) {
	q.advance(now)
	for i := range q.jobs {
		sum += min(q.jobs[i].remainingMs, most)
	}
	return sum
}

// len is the number of prompts left.
func (q *prefillQueue) len(now time.Duration) int {
	q.advance(now)
	return len(q.jobs)
}

// complete tells that a prompt is read or gone, and, where they are read in order, all before it.
func (q *prefillQueue) complete(id uint64, inOrder bool) {
	i := slices.IndexFunc(q.jobs, func(j queuedPrefill) bool { return j.id == id })
	switch {
	case i < 0:
	case inOrder:
		q.jobs = slices.Delete(q.jobs, 0, i+1)
	default:
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

func (q *prefillQueue) advance(now time.Duration) {
	done := 0
	for ; done < len(q.jobs); done++ {
		j := &q.jobs[done]
		begin := max(q.advancedTo, j.arrivedAt)
		if passed := millis(now - begin); passed < j.remainingMs {
			if passed > 0 {
				j.remainingMs -= passed
			}
			break
		}
		q.advancedTo = begin + duration(j.remainingMs)
	}
	if done > 0 {
		q.jobs = slices.Delete(q.jobs, 0, done)
	}
	q.advancedTo = max(q.advancedTo, now)
}
