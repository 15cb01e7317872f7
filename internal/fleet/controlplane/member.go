package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	idBytes          = 8
	incarnationBytes = 4
)

// Member is this process's member of the control plane. All methods are safe for concurrent use.
type Member struct {
	options     Options
	self        view.Peer
	incarnation string // distinguishes this run of the process from earlier ones in proposal numbers
	disk        Disk
	intercept   interceptor // carries out the calls between members in tests; nil otherwise

	writeToken  chan struct{}    // holds a token while no durable step is under way
	submissions chan *submission // updates waiting to be carried out by this member as the head
	wakeups     chan struct{}    // requests an immediate tick

	loops sync.WaitGroup // goroutines of Run
	calls sync.WaitGroup // goroutines started by spawn

	mu              sync.Mutex // guards the fields below
	changed         broadcast  // notified when the views or the committed value change
	views           viewState
	acceptor        acceptor
	register        register
	peers           peerTable
	pauses          pauseDetector
	proposer        proposer
	bootstrap       bootstrapState
	diskMonitor     diskMonitor
	discovery       viewDiscovery
	confirmations   confirmations
	announcer       announcer
	leaving         bool           // Handover was called
	loggedShortfall view.Shortfall // the last shortfall that was logged
	sendingSnapshot bool           // the value is being sent to a joining member
	stopped         bool           // Run is ending: spawn starts no further calls
	runContext      context.Context
}

// Open reads the state from the disk. If the disk is empty or its file is damaged, the process becomes
// a new member with a new ID. Run closes the disk.
func Open(options Options) (*Member, error) {
	if err := options.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	disk, err := openDisk(&options)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	m := &Member{
		options:     options,
		disk:        disk,
		incarnation: randomHex(incarnationBytes),
		writeToken:  make(chan struct{}, 1),
		submissions: make(chan *submission, maxSubmissions),
		wakeups:     make(chan struct{}, 1),
		changed:     newBroadcast(),
		pauses:      newPauseDetector(now),
		runContext:  context.Background(),
	}
	m.writeToken <- struct{}{}
	if err := m.loadState(); err != nil {
		disk.Close()
		return nil, err
	}
	m.peers = newPeerTable(m.self.ID)
	m.announcer = newAnnouncer()
	m.proposer = newProposer(m.self.ID + "/" + m.incarnation)
	if options.FirstStart && m.views.learned.Number == 0 {
		m.bootstrap = newBootstrap(options.Seeds(), now)
	}
	return m, nil
}

// openDisk opens the store in StateDir, or returns options.Disk if both it and StateDir are set.
func openDisk(options *Options) (Disk, error) {
	if options.Disk != nil && options.StateDir != "" {
		return options.Disk, nil
	}
	opened, report, err := store.Open(options.StateDir)
	if err != nil {
		return nil, err
	}
	if report.Damaged {
		logevent.StateFileCorrupted.Log("why", report.Reason)
	} else if report.TornBytes > 0 {
		logevent.TornWriteTruncated.Log("bytes", report.TornBytes)
	}
	return opened, nil
}

func randomHex(length int) string {
	raw := make([]byte, length)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// Run runs the member until ctx ends, and then closes the disk. It returns when all goroutines that the
// member started have ended.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.runContext = ctx
	m.mu.Unlock()
	for _, loop := range []func(context.Context){m.tickLoop, m.submissionLoop, m.callbackLoop, m.discoveryLoop} {
		m.loops.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.loops.Wait()
	m.disk.Close() // before the calls end, as some of them may be waiting for the disk
	m.calls.Wait()
	return nil
}

// spawn runs a short call in a goroutine that Run waits for. The call's context ends with Run.
func (m *Member) spawn(call func(context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(call)
}

func (m *Member) spawnLocked(call func(context.Context)) {
	if m.stopped {
		return
	}
	ctx := m.runContext
	m.calls.Add(1)
	go func() { // WaitGroup.Go would allocate once more for each call
		defer m.calls.Done()
		call(ctx)
	}()
}

// acquireWrite waits for the write token, which permits a durable step; releaseWrite returns it.
func (m *Member) acquireWrite(ctx context.Context) error {
	select {
	case <-m.writeToken:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the state's disk")
	}
}

func (m *Member) releaseWrite() { m.writeToken <- struct{}{} }

// replica returns this member's replica of the configuration and its learned view, as they are on disk.
func (m *Member) replica() chain.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicaLocked()
}

func (m *Member) replicaLocked() chain.Replica {
	return chain.Replica{ID: m.self.ID, View: m.views.learned, Record: m.register.record}
}

// callbackLoop calls OnView and OnCommit. Both are called from this goroutine only, so a slow callback
// delays the next one but nothing else.
func (m *Member) callbackLoop(ctx context.Context) {
	var number, seq uint64
	for {
		m.mu.Lock()
		learned, committed, changed := m.views.learned, m.register.committed, m.changed.wait()
		m.mu.Unlock()
		if learned.Number > number {
			number = learned.Number
			if m.options.OnView != nil {
				m.options.OnView(learned)
			}
		}
		if committed.Seq > seq {
			seq = committed.Seq
			if m.options.OnCommit != nil {
				m.options.OnCommit(committed)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// wait returns after limit, when changed is closed or when ctx ends. changed may be nil.
func wait(ctx context.Context, limit time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
