// Package connpool bounds the number of connections that a client has open to a set of servers, and
// retains the idle ones for reuse. Dialing, and whether an idle connection is still usable, is left to the
// caller.
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

// ErrExhausted means that as many connections are in use as may be open.
var ErrExhausted = errors.New("no descriptor left for a connection")

// Conn is a connection in a pool.
type Conn interface {
	Close() error
	// IdleSince returns when the connection was last put into the pool.
	IdleSince() time.Time
}

// Pool counts the connections to all servers and holds the idle ones. The keys identify servers: not
// addresses, as another server may get the address of a removed one. It is safe for concurrent use.
type Pool[K comparable, C Conn] struct {
	maxOpen int
	maxIdle int

	mu   sync.Mutex // guards the fields below
	open int        // connections, idle or in use
	idle map[K][]C  // the most recently used last; no empty lists
}

// New returns a pool of at most maxOpen connections, with at most maxIdle idle ones for each key.
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

// Reserve counts a connection that is about to be opened. If there are too many it closes the one that has
// been idle longest, and returns ErrExhausted if none is idle.
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

// PutIdle returns a connection in use to the pool. It reports false if there are enough idle ones to that
// server: then the connection is still in use.
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
func (p *Pool[K, C]) CloseIdleIf(closes func(key K) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if closes(key) {
			p.closeIdleLocked(key, len(list))
		}
	}
}

// CloseExpired closes idle connections, for each server from the least recently used one on up to the first
// for which the function returns false. The function is called with the pool's lock held.
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

// Count returns the number of open connections, and of the idle ones among them.
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
