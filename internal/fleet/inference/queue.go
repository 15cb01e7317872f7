package inference

import (
	"slices"
	"time"
)

// maxQueue bounds the prompts known one by one; what comes beyond it is taken into the last.
const maxQueue = 64

// queue is the prompts that a server has to read, in the order they came: it reads one after
// the other, each from its arrival on at the earliest.
type queue struct {
	jobs []job
	at   time.Duration // up to when jobs are worked off
	last uint64
}

type job struct {
	id   uint64
	at   time.Duration
	work float64 // ms that are left
}

// add puts a prompt that came at the time given, and returns its number.
func (q *queue) add(at time.Duration, work float64) uint64 {
	if n := len(q.jobs); n >= maxQueue {
		q.jobs[n-1].work += work
		return q.jobs[n-1].id
	}
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].at > at {
		i--
	}
	q.last++
	q.jobs = slices.Insert(q.jobs, i, job{q.last, at, work})
	return q.last
}

// left is the work in ms that is left, of no job more than so much.
func (q *queue) left(now time.Duration, most float64) (sum float64) {
	q.drain(now)
	for i := range q.jobs {
		sum += min(q.jobs[i].work, most)
	}
	return sum
}

// len is the number of prompts left.
func (q *queue) len(now time.Duration) int {
	q.drain(now)
	return len(q.jobs)
}

// read tells that a prompt is read or gone, and, where they are read in order, all before it.
func (q *queue) read(id uint64, inOrder bool) {
	i := slices.IndexFunc(q.jobs, func(j job) bool { return j.id == id })
	switch {
	case i < 0:
	case inOrder:
		q.jobs = slices.Delete(q.jobs, 0, i+1)
	default:
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

func (q *queue) drain(now time.Duration) {
	done := 0
	for ; done < len(q.jobs); done++ {
		j := &q.jobs[done]
		begin := max(q.at, j.at)
		if passed := millis(now - begin); passed < j.work {
			if passed > 0 {
				j.work -= passed
			}
			break
		}
		q.at = begin + duration(j.work)
	}
	if done > 0 {
		q.jobs = slices.Delete(q.jobs, 0, done)
	}
	q.at = max(q.at, now)
}
