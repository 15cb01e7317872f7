package experiment

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/backend"
	"chalkdoor.example/chalkdoor/internal/testbed/faultlink"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

const (
	// listLate is how late discovery tells a change.
	listLate = 500 * time.Millisecond
	// killedFor is how long an agent that was killed stays down, and grace what it may take
	// to end in order.
	killedFor, grace = 300 * time.Millisecond, 8 * time.Second
)

// kinds do a fault to a world and return what ends it, or nil. They are drawn from the
// world's own seed, so equal runs befall the same.
var kinds = map[string]func(ctx context.Context, w *world, f *Fault) (end func() error, err error){
	// Agents are killed, and start again from nothing but the list.
	"kill-agents": func(ctx context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someAgents(f)
		w.beginOutages(hit)
		for _, a := range hit {
			w.mean(a.proc)
			a.proc.Kill()
		}
		later(ctx, w, killedFor, func() error {
			for _, a := range hit {
				if err := w.restart(a); err != nil {
					return err
				}
				go w.awaitReturn(ctx, a, a.proc)
			}
			return nil
		})
		return nil, nil
	},
	// Agents are paused, and go on.
	"pause-agents": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.pause(w.someAgents(f))
	},
	// The same with voters of the council.
	"pause-voters": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		of := w.agents[:min(voters, len(w.agents))] // the same where they act alone
		var hit []*agent
		for _, i := range w.some(len(of), f.Part) {
			hit = append(hit, of[i])
		}
		return w.pause(hit)
	},
	// Agents end in order, one step after the other over For, and start again.
	"roll-agents": func(ctx context.Context, w *world, f *Fault) (func() error, error) {
		steps := max(f.Steps, 1)
		hit := w.someAgents(f)
		for i := range steps {
			part := hit[len(hit)*i/steps : len(hit)*(i+1)/steps]
			later(ctx, w, time.Duration(f.For)*time.Duration(i)/time.Duration(steps), func() error {
				for _, a := range part {
					w.mean(a.proc)
					go func() {
						ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
						defer cancel()
						if err := a.proc.Terminate(ctx); err != nil {
							w.died(fmt.Sprintf("%s at SIGTERM: %v", a.name, err))
						}
						w.later(func() error { return w.restart(a) })
					}()
				}
				return nil
			})
		}
		return nil, nil
	},
	// Servers die and come back cold.
	"kill-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someServers(f)
		w.down(hit)
		return func() error { return w.up(hit) }, nil
	},
	// All servers of a zone fall silent and come back cold.
	"lose-zone": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		var hit []*server
		for _, s := range w.servers {
			if s.Zone() == f.Zone && s.target.State != backend.Removed {
				hit = append(hit, s)
				w.enter(s, backend.Removed)
			}
		}
		w.tell(listLate, hit...)
		heal, err := w.cut(func(_ *agent, s *server) (bool, bool) { return s.Zone() == f.Zone, s.Zone() == f.Zone })
		return func() error {
			for _, s := range hit {
				for _, l := range s.links {
					l.Reset()
				}
				s.Restart()
				w.enter(s, backend.Up)
			}
			w.tell(listLate, hit...)
			return heal()
		}, err
	},
	// A zone is cut off from the others: agents and servers within reach each other only. The
	// list tells nothing.
	"cut-zone": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.cut(func(a *agent, s *server) (bool, bool) {
			across := (a.zone == f.Zone) != (s.Zone() == f.Zone)
			return across, across
		})
	},
	// What servers send to agents of other zones is lost, not what they are sent.
	"cut-answers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.cut(func(a *agent, s *server) (bool, bool) { return false, s.Zone() == f.Zone && a.zone != f.Zone })
	},
	// A site's uplink is lost: its agents reach neither discovery nor other sites' agents and
	// servers, and the other way round. Within the site all is well.
	"uplink": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		loss := &referee.Loss{Zone: f.Zone, From: w.log.Now(), To: -1}
		w.losses = append(w.losses, loss)
		inside := map[string]bool{}
		for _, name := range w.electorate(f.Zone) {
			inside[name] = true
		}
		reached, err := w.cutPeers(func(from, to string) bool { return inside[from] != inside[to] })
		if err != nil {
			return nil, err
		}
		silence := func(on bool) {
			for _, a := range w.agents {
				if inside[a.name] && a.view != nil {
					a.view.Silence(on)
				}
			}
		}
		silence(true)
		heal, err := w.cut(func(a *agent, s *server) (bool, bool) {
			across := (a.zone == f.Zone) != (s.Zone() == f.Zone)
			return across, across
		})
		return func() error {
			loss.To = w.log.Now()
			silence(false)
			if reached != nil {
				if err := reached(); err != nil {
					return err
				}
			}
			return heal()
		}, err
	},
	// Servers drain, as discovery tells late, and are gone when it ends.
	"drain-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someServers(f)
		for _, s := range hit {
			w.enter(s, backend.Draining)
		}
		w.tell(listLate, hit...)
		return func() error {
			w.down(hit)
			return nil
		}, nil
	},
	"slow-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.fault(f, backend.Faults{Slow: f.Times})
	},
	// Servers are slow, and fail a share of what they get.
	"grey-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.fault(f, backend.Faults{Slow: f.Times, Errors: f.Share})
	},
	"error-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.fault(f, backend.Faults{Errors: f.Share})
	},
	// The agents of a zone are cut off from each other, in so many parts; all else is well.
	"split-site": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		part, members := map[string]int{}, w.electorate(f.Zone)
		for i, at := range w.rng.Perm(len(members)) {
			part[members[at]] = 1 + i*max(f.Steps, 2)/len(members)
		}
		return w.cutPeers(func(from, to string) bool {
			return part[from] > 0 && part[to] > 0 && part[from] != part[to]
		})
	},
	// Some agents hear others, and are not heard.
	"mute-agents": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		mute := map[string]bool{}
		for _, a := range w.someAgents(f) {
			mute[a.name] = true
		}
		return w.cutPeers(func(from, _ string) bool { return mute[from] })
	},
	// Servers fall silent to all, and the list tells nothing.
	"silence-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someServers(f)
		w.befall(hit)
		return w.cut(func(_ *agent, s *server) (bool, bool) { return slices.Contains(hit, s), slices.Contains(hit, s) })
	},
	"spoil-answers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.fault(f, backend.Faults{Spoilt: f.Share})
	},
	"lose-answers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.fault(f, backend.Faults{Lost: f.Share})
	},
	// The network of some agents is bad: a share of their messages is held up.
	"stall-links": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someAgents(f)
		set := func(q faultlink.Quality) error {
			for _, a := range hit {
				a.quality = q
			}
			return w.relink()
		}
		return func() error { return set(faultlink.Quality{}) },
			set(faultlink.Quality{Stall: f.Share, Stalled: time.Duration(f.Delay)})
	},
	// All open connections to servers are reset, once.
	"reset-links": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		for _, s := range w.someServers(f) {
			for _, l := range s.links {
				l.Reset()
			}
		}
		return nil, nil
	},
	// Servers are replaced by new ones, in steps over For: the new are listed, cold, then the
	// old drain, and go when they have had their time.
	"replace-servers": func(ctx context.Context, w *world, f *Fault) (func() error, error) {
		hit, steps := w.someServers(f), max(f.Steps, 1)
		drain := time.Duration(w.set.Contract.DrainGraceMs)*time.Millisecond + 500*time.Millisecond
		for i := range steps {
			part := hit[len(hit)*i/steps : len(hit)*(i+1)/steps]
			at := time.Duration(f.For) * time.Duration(i) / time.Duration(steps)
			later(ctx, w, at, func() error {
				fresh := make([]*server, len(part))
				for i, old := range part {
					w.enter(old, backend.Draining)
					var err error
					if fresh[i], err = w.addServer(unixMs()); err != nil {
						return err
					}
				}
				w.tell(listLate, append(fresh, part...)...)
				return nil
			})
			later(ctx, w, at+listLate+drain, func() error {
				w.down(part)
				return nil
			})
		}
		return nil, nil
	},
	"freeze-discovery": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someAgents(f)
		for _, a := range hit {
			a.view.Freeze(true)
		}
		return func() error {
			for _, a := range hit {
				a.view.Freeze(false)
			}
			return nil
		}, nil
	},
	"silence-discovery": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someAgents(f)
		for _, a := range hit {
			a.view.Silence(true)
		}
		return func() error {
			for _, a := range hit {
				a.view.Silence(false)
			}
			return nil
		}, nil
	},
	"busy-discovery": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		hit := w.someAgents(f)
		for _, a := range hit {
			a.view.Busy(time.Duration(f.Delay))
		}
		return func() error {
			for _, a := range hit {
				a.view.Busy(0)
			}
			return nil
		}, nil
	},
}

func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// pause stops agents and returns what lets them go on.
func (w *world) pause(hit []*agent) (func() error, error) {
	from := w.log.Now()
	for _, a := range hit {
		if err := a.proc.Stop(); err != nil {
			return nil, err
		}
	}
	return func() error {
		for _, a := range hit {
			if err := a.proc.Continue(); err != nil {
				return err
			}
			// What a paused process holds or is sent it cannot answer in time.
			w.log.Add(referee.Event{At: from, Kind: referee.Killed, Agent: a.name, Deadline: w.log.Now()})
		}
		return nil
	}, nil
}

// later does something on the run's goroutine after a time, unless the run is over by then.
func later(ctx context.Context, w *world, after time.Duration, do func() error) {
	time.AfterFunc(after, func() {
		if ctx.Err() == nil {
			w.later(do)
		}
	})
}

// enter gives a server another state in the list; one that is up has started now.
func (w *world) enter(s *server, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.target.State = state; state == backend.Up {
		s.target.StartedMs = unixMs()
	}
}

// some draws a part of n things, in a drawn order; a part of 0 is all.
func (w *world) some(n int, part float64) []int {
	if part == 0 {
		part = 1
	}
	return w.rng.Perm(n)[:int(math.Round(part*float64(n)))]
}

func (w *world) someAgents(f *Fault) (hit []*agent) {
	var of []*agent
	for _, a := range w.agents {
		if f.Zone == "" || a.zone == f.Zone {
			of = append(of, a)
		}
	}
	for _, i := range w.some(len(of), f.Part) {
		hit = append(hit, of[i])
	}
	return hit
}

func (w *world) someServers(f *Fault) (hit []*server) {
	var of []*server
	for _, s := range w.servers {
		if s.target.State != backend.Removed && (f.Zone == "" || s.Zone() == f.Zone) && !slices.Contains(w.spared, s.ID()) {
			of = append(of, s)
		}
	}
	for _, i := range w.some(len(of), f.Part) {
		hit = append(hit, of[i])
	}
	return hit
}

// fault does to some servers, and ends with their being as made.
func (w *world) fault(f *Fault, what backend.Faults) (func() error, error) {
	hit := w.someServers(f)
	w.befall(hit)
	for _, s := range hit {
		s.Fault(what)
	}
	return func() error {
		for _, s := range hit {
			s.Fault(backend.Faults{})
		}
		return nil
	}, nil
}

// befall notes when servers first turned bad.
func (w *world) befall(hit []*server) {
	for _, s := range hit {
		if _, ok := w.fell[s.ID()]; !ok {
			w.fell[s.ID()] = w.log.Now()
		}
	}
}

// cut cuts links and returns what heals them.
func (w *world) cut(which func(*agent, *server) (to, from bool)) (heal func() error, err error) {
	w.mu.Lock()
	w.cuts = append(w.cuts, which)
	at := len(w.cuts) - 1
	w.mu.Unlock()
	return func() error {
		w.mu.Lock()
		w.cuts[at] = func(*agent, *server) (bool, bool) { return false, false }
		w.mu.Unlock()
		return w.relink()
	}, w.relink()
}

// down is the death of servers, up their next start.
func (w *world) down(hit []*server) {
	for _, s := range hit {
		w.enter(s, backend.Removed)
		for _, l := range s.links {
			l.Down()
		}
	}
	w.tell(listLate, hit...)
}

func (w *world) up(hit []*server) error {
	for _, s := range hit {
		s.Restart()
		w.enter(s, backend.Up)
		for _, l := range s.links {
			if err := l.Up(); err != nil {
				return err
			}
		}
	}
	w.tell(listLate, hit...)
	return nil
}

// died notes the end of a process that should not have ended so.
func (w *world) died(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaths = append(w.deaths, what)
}

// ready tells whether the agent at an address says that it is.
func ready(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/ready", nil)
	if err != nil {
		return false, err
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := c.Do(req)
	if err != nil {
		return false, err
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}
