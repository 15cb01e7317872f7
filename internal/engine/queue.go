package engine

import "time"

// maxQueue bounds the prompts known one by one; beyond it they are taken together.
const maxQueue = 64

// queue is the prompts that a server has to read, in the order they came: it reads one after
// the other, each from its arrival on at the earliest.
type queue struct {
	jobs []job
	at   time.Duration // up to when jobs are worked off
}

type job struct {
	at   time.Duration
	work float64 // ms that are left
}

// add puts a prompt that came at the time given, not much before the latest.
func (q *queue) add(at time.Duration, work float64) {
	if len(q.jobs) >= maxQueue {
		q.jobs[len(q.jobs)-1].work += work
		return
	}
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].at > at {
		i--
	}
	q.jobs = append(q.jobs, job{})
	copy(q.jobs[i+1:], q.jobs[i:])
	q.jobs[i] = job{at, work}
}

// left is the work in ms that is left.
func (q *queue) left(now time.Duration) (sum float64) {
	q.drain(now)
	for _, j := range q.jobs {
		sum += j.work
	}
	return sum
}

// len is the number of prompts left.
func (q *queue) len(now time.Duration) int {
	q.drain(now)
	return len(q.jobs)
}

// read tells that the prompt that came at the time given is read, and so are all before it.
func (q *queue) read(at time.Duration) {
	for len(q.jobs) > 0 && q.jobs[0].at <= at {
		q.pop()
	}
}

func (q *queue) pop() {
	copy(q.jobs, q.jobs[1:])
	q.jobs = q.jobs[:len(q.jobs)-1]
}

func (q *queue) drain(now time.Duration) {
	for len(q.jobs) > 0 {
		j := &q.jobs[0]
		begin := max(q.at, j.at)
		done := millis(now - begin)
		if done < j.work {
			j.work -= max(done, 0)
			break
		}
		q.at = begin + duration(j.work)
		q.pop()
	}
	q.at = max(q.at, now)
}
