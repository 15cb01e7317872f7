// Package daemon is one process of the router fleet: it puts together the door that clients come
// to, the control address of servers and operators, the feed between agents and, on machines with
// a disk, a member of the core.
package daemon

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/chain"
	"chalkdoor.example/chalkdoor/internal/conf"
	"chalkdoor.example/chalkdoor/internal/core"
	"chalkdoor.example/chalkdoor/internal/ctl"
	"chalkdoor.example/chalkdoor/internal/door"
	"chalkdoor.example/chalkdoor/internal/event"
	"chalkdoor.example/chalkdoor/internal/hub"
	"chalkdoor.example/chalkdoor/internal/node"
	"chalkdoor.example/chalkdoor/internal/rpc"
	"chalkdoor.example/chalkdoor/internal/view"
)

const (
	// linger is for how long connections still come after SIGTERM: the entry asks every second and
	// takes two misses for an end.
	linger = 2600 * time.Millisecond
	// lastWords is what of the grace is kept for telling the others and closing the disk.
	lastWords = 700 * time.Millisecond
	// savedServers is the name of the list of servers on disk.
	savedServers = "servers"
	// lookEvery is how often the settings file is looked at: it may change without a signal.
	lookEvery = 2 * time.Second
)

// Daemon is one process.
type Daemon struct {
	path   string
	set    atomic.Pointer[node.Settings]
	pool   *rpc.Pool
	core   *core.Member
	hub    *hub.Hub
	door   *door.Door
	ctl    *ctl.Server
	ending atomic.Bool
}

// New puts a process together by its settings file.
func New(path string) (*Daemon, error) {
	s, err := node.Load(path)
	if err != nil {
		return nil, err
	}
	for _, c := range s.Contracts {
		if !knownContracts[c] {
			event.UnknownContract.Log("contract", c)
		}
	}
	if s.Discovery != "self_register" || s.Entry != "vip" {
		event.UnknownDiscovery.Log("discovery", s.Discovery, "entry", s.Entry)
	}
	// Peaks of memory are paid for, and over the limit the process is killed.
	debug.SetMemoryLimit(s.Limits.MemoryMB << 20 * 6 / 10)
	d := &Daemon{path: path, pool: rpc.NewPool()}
	d.set.Store(s)
	addr := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort()))
	f := fnv.New64a()
	f.Write([]byte(s.Name))
	d.door = door.New(s, f.Sum64())
	d.core, err = core.Open(core.Options{
		Addr: addr, Zone: s.Zone, Dir: s.StateDir, HasDisk: s.Disk(), FirstStart: s.FirstStart,
		Seeds: d.seeds, Known: d.known, Losses: s.Tolerance.Machines, Counted: s.Counted, Pool: d.pool,
		Check:    func(cur []byte, o *chain.Order) ([]byte, int64, error) { return conf.Next(cur, o.Patch, o.Body) },
		OnCommit: func(v chain.Value) { d.hub.Commit(v.Seq, v.Body) },
		OnView:   func(v view.View) {},
	})
	if err != nil {
		return nil, errors.Wrap(err, "open the control state")
	}
	var save func([]byte) error
	var saved []byte
	if s.Disk() {
		save = func(b []byte) error { return d.core.Save(savedServers, b) }
		saved, _ = d.core.Saved(savedServers)
	}
	d.hub = hub.New(hub.Options{
		Save: save, Saved: saved,
		Self: hub.Member{Name: s.Name, Addr: addr, Zone: s.Zone, Region: s.Region, Control: s.Listen.Control},
		Beat: time.Duration(s.BeatMs) * time.Millisecond, Core: coreView{d.core}, Seeds: d.seeds, OnChange: d.door.Update,
		OnNotice: d.door.Heard, LinkMbps: s.Limits.LinkMbps,
	})
	d.door.Notify = d.hub.Notify
	d.ctl = ctl.NewServer(&plane{d}, ctl.Options{SubmitTimeout: 950 * time.Millisecond, ReadTimeout: 900 * time.Millisecond})
	return d, nil
}

var knownContracts = map[string]bool{"base": true, "drain": true, "config": true, "cost": true, "retry": true, "recover": true,
	"engine": true, "stream": true}

// seeds are the agents' addresses on the machines of the seeds, by the settings as they are now.
func (d *Daemon) seeds() []string {
	s := d.set.Load()
	out := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		out[i] = s.PeerOf(seed)
	}
	return out
}

// known are the agents' addresses of the members that are of the core, as the feed tells.
func (d *Daemon) known() []string {
	if d.hub == nil {
		return nil
	}
	var out []string
	for _, m := range d.hub.Others(true) {
		out = append(out, m.Addr)
	}
	return out
}

// coreView is what the feed asks of the core's member.
type coreView struct{ m *core.Member }

func (c coreView) IsCore() bool { return c.m.IsCore() }
func (c coreView) Linked() bool { return c.m.Linked() }
func (c coreView) Hubs() []hub.Peer {
	v, ok := c.m.View()
	if !ok {
		return nil
	}
	out := make([]hub.Peer, len(v.Voters))
	for i, p := range v.Voters {
		out[i] = hub.Peer{Addr: p.Addr, Zone: p.Zone}
	}
	return out
}

// Run serves until ctx ends, then ends within the grace. reload has the settings file read again.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	s := d.set.Load()
	// What works on while the process ends stops by this one.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	errs := make(chan error, 8)
	var wg sync.WaitGroup
	run := func(what string, fn func() error) {
		wg.Go(func() {
			if err := fn(); err != nil {
				errs <- errors.Wrap(err, what)
			}
		})
	}
	// All listen before anything works, so that nothing is left behind where one can't.
	listeners := map[string]net.Listener{}
	for _, addr := range []string{s.Listen.Readiness, net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort())), s.Listen.Control, s.Listen.Front} {
		if addr == "" {
			continue
		}
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
		if err != nil { // Wrap makes an error of nil, too
			for _, ln := range listeners {
				ln.Close()
			}
			stop()
			_ = d.core.Run(work) // closes the state
			return errors.Wrapf(err, "listen on %s", addr)
		}
		listeners[addr] = ln
	}
	if ln := listeners[s.Listen.Readiness]; ln != nil {
		srv := &http.Server{Handler: http.HandlerFunc(d.door.Ready), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
		run("readiness", func() error {
			if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		defer context.AfterFunc(work, func() { srv.Close() })()
	}
	table := rpc.NewTable()
	d.core.Declare(table)
	d.hub.Declare(table)
	run("peers", func() error {
		return rpc.Serve(work, listeners[net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort()))], table)
	})
	run("core", func() error { return d.core.Run(work) })
	run("hub", func() error { return d.hub.Run(work) })
	run("door", func() error { return d.door.Run(work) })
	run("newest", func() error { d.newest(work); return nil })
	run("settings", func() error { d.watch(work, reload); return nil })
	if ln := listeners[s.Listen.Control]; ln != nil {
		run("control", func() error { return d.ctl.Serve(work, ln) })
	}
	if ln := listeners[s.Listen.Front]; ln != nil {
		run("front", func() error { return d.door.Serve(ln) })
	}
	event.Started.Log("node", s.Name, "zone", s.Zone, "disk", s.Disk(), "first", s.FirstStart)
	var err error
	select {
	case err = <-errs:
		event.PartFailed.Error(err)
		none, cancel := context.WithCancel(ctx)
		cancel()
		d.door.Shutdown(none, 0)
	case <-ctx.Done():
		d.end(s)
	}
	stop()
	d.pool.Close()
	wg.Wait()
	return err
}

// end serves to its end what is held, and tells the others.
func (d *Daemon) end(s *node.Settings) {
	event.Ending.Log("node", s.Name)
	d.ending.Store(true)
	by := time.Now().Add(s.Grace() - lastWords)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	d.hub.Ending()
	d.ctl.Leave()
	var wg sync.WaitGroup
	wg.Go(func() { d.core.Handover(ctx) })
	d.door.Shutdown(ctx, linger)
	wg.Wait()
	bye, done := context.WithTimeout(context.Background(), lastWords/2)
	defer done()
	d.hub.Bye(bye)
	event.Ended.Log("node", s.Name)
}

// newest asks the core once for the newest configuration, so that no older one is gone by.
func (d *Daemon) newest(ctx context.Context) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, time.Second)
		v, err := d.core.Read(once)
		cancel()
		if err == nil {
			if v.Seq > 0 {
				d.hub.Commit(v.Seq, v.Body)
			}
			d.hub.Newest()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// watch reads the settings file again when told, and when it has changed. Only the seeds are taken
// over: all else is bound to the machine and needs a new start. A file that can't be used leaves
// the old one in force.
func (d *Daemon) watch(ctx context.Context, reload <-chan struct{}) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			told = true
		case <-tick.C:
		}
		s, err := node.Load(d.path)
		if err != nil {
			event.SettingsBad.Error(err)
			continue
		}
		if old := d.set.Load(); s.Digest != old.Digest || told {
			next := *old
			next.Seeds, next.Digest = s.Seeds, s.Digest
			d.set.Store(&next)
			event.SettingsRead.Log("seeds", s.Seeds)
		}
	}
}
