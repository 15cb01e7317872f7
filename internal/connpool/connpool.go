// Package connpool bounds the number of connections that a client has open to a set of servers, and
// keeps the idle ones for reuse. The caller dials, and checks whether an idle connection is still usable.
//
// Each open connection is counted from Reserve until Release, Close or one of the functions that close
// idle ones:
//
//	conn, ok := pool.TakeIdle(key)       // or, if there is none:
//	err := pool.Reserve()                // then dial; Release if that fails
//	...                                  // one request
//	pool.PutIdle(key, conn)              // or pool.Close(conn)
package connpool

import (
	"errors"
	"sync"
	"time"
)

// ErrExhausted means that the maximum number of connections is open and none of them is idle.
var ErrExhausted = errors.New("no descriptor left for a connection")

// Conn is a connection in a pool.
type Conn interface {
	Close() error
	// IdleSince returns when the connection was last put into the pool.
	IdleSince() time.Time
}

// Pool counts the connections to all servers and holds the idle ones. Its keys identify servers. They
// must not be addresses, because another server may get the address of a removed one. Pool is safe for
// concurrent use.
type Pool[K comparable, C Conn] struct {
	maxOpen int
	maxIdle int // for each key

	mu   sync.Mutex // guards the fields below
	open int        // number of connections, idle or in use
	idle map[K][]C  // most recently used last; no list is empty
}

// New returns a pool of at most maxOpen connections, of which at most maxIdle are idle for each key.
func New[K comparable, C Conn](maxOpen, maxIdle int) *Pool[K, C] {
	return &Pool[K, C]{maxOpen: maxOpen, maxIdle: maxIdle, idle: map[K][]C{}}
}

// TakeIdle removes the most recently used idle connection to a server from the pool, which counts it as
// in use. It reports false if there is none.
func (p *Pool[K, C]) TakeIdle(key K) (conn C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return conn, false
	}
	last := len(list) - 1
	conn = list[last]
	p.setIdleLocked(key, list[:last])
	return conn, true
}

// Reserve counts a connection that is about to be opened. If the maximum number is open already, it closes
// the connection that has been idle longest, or returns ErrExhausted if none is idle.
func (p *Pool[K, C]) Reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen && !p.evictLocked() {
		return ErrExhausted
	}
	p.open++
	return nil
}

// Release stops counting a connection in use.
func (p *Pool[K, C]) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Close closes a connection in use and stops counting it.
func (p *Pool[K, C]) Close(conn C) {
	conn.Close()
	p.Release()
}

// PutIdle returns a connection in use to the pool. It reports false if the maximum number of connections
// to that server is idle already; the connection then still counts as in use.
func (p *Pool[K, C]) PutIdle(key K, conn C) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= p.maxIdle {
		return false
	}
	p.idle[key] = append(p.idle[key], conn)
	return true
}

// CloseIdle closes the idle connections to a server.
func (p *Pool[K, C]) CloseIdle(key K) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(key, len(p.idle[key]))
}

// CloseIdleIf closes the idle connections to all servers for which the function returns true. The function
// is called with the pool's lock held.
func (p *Pool[K, C]) CloseIdleIf(shouldClose func(key K) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if shouldClose(key) {
			p.closeIdleLocked(key, len(list))
		}
	}
}

// CloseExpired closes expired idle connections. For each server it begins with the least recently used one
// and stops at the first for which the function returns false. The function is called with the pool's lock
// held.
func (p *Pool[K, C]) CloseExpired(expired func(key K, conn C) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		count := 0
		for count < len(list) && expired(key, list[count]) {
			count++
		}
		p.closeIdleLocked(key, count)
	}
}

// Count returns the number of open connections and how many of them are idle.
func (p *Pool[K, C]) Count() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle
}

// evictLocked closes the connection that has been idle longest. It reports false if none is idle.
func (p *Pool[K, C]) evictLocked() bool {
	var oldestKey K
	var oldestSince time.Time
	found := false
	for key, list := range p.idle {
		since := list[0].IdleSince()
		if !found || since.Before(oldestSince) {
			oldestKey, oldestSince, found = key, since, true
		}
	}
	if found {
		p.closeIdleLocked(oldestKey, 1)
	}
	return found
}

// closeIdleLocked closes the given number of idle connections to a server, the least recently used first.
func (p *Pool[K, C]) closeIdleLocked(key K, count int) {
	list := p.idle[key]
	for _, conn := range list[:count] {
		conn.Close()
	}
	p.open -= count
	p.setIdleLocked(key, list[count:])
}

// setIdleLocked replaces the idle connections to a server.
func (p *Pool[K, C]) setIdleLocked(key K, list []C) {
	if len(list) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = list
}
