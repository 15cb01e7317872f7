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
	// announceDelay is the delay with which discovery announces a change.
	announceDelay = 500 * time.Millisecond
	// downtime is the time between an agent's kill and its restart, and shutdownTimeout is the limit for a
	// graceful shutdown.
	downtime, shutdownTimeout = 300 * time.Millisecond, 8 * time.Second
)

// faultKinds has a function for each kind of fault. It injects the fault and returns a function that ends
// it, or nil if nothing has to be ended. Random choices are drawn from the world's seed, so that runs
// with the same seed get the same faults.
var faultKinds = map[string]func(ctx context.Context, w *world, f *Fault) (end func() error, err error){
	// Kills agents, and starts them again after the downtime.
	"kill-agents": func(ctx context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleAgents(f)
		w.beginOutages(affected)
		for _, a := range affected {
			w.expectExit(a.proc)
			a.proc.Kill()
		}
		schedule(ctx, w, downtime, func() error {
			for _, a := range affected {
				if err := w.restart(a); err != nil {
					return err
				}
				go w.awaitReturn(ctx, a, a.proc)
			}
			return nil
		})
		return nil, nil
	},
	// Pauses agents (SIGSTOP), and resumes them at the end.
	"pause-agents": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.pause(w.sampleAgents(f))
	},
	// Pauses voters of the council.
	"pause-voters": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		// The same agents are paused in plays without a council, so that all plays get the same fault.
		of := w.agents[:min(councilSize, len(w.agents))]
		var affected []*agent
		for _, i := range w.sample(len(of), f.Fraction) {
			affected = append(affected, of[i])
		}
		return w.pause(affected)
	},
	// Restarts agents gracefully, in Steps batches that are spread over Duration.
	"roll-agents": func(ctx context.Context, w *world, f *Fault) (func() error, error) {
		steps := max(f.Steps, 1)
		affected := w.sampleAgents(f)
		for i := range steps {
			batch := affected[len(affected)*i/steps : len(affected)*(i+1)/steps]
			schedule(ctx, w, time.Duration(f.Duration)*time.Duration(i)/time.Duration(steps), func() error {
				for _, a := range batch {
					w.expectExit(a.proc)
					go func() {
						ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
						defer cancel()
						if err := a.proc.Terminate(ctx); err != nil {
							w.recordCrash(fmt.Sprintf("%s at SIGTERM: %v", a.name, err))
						}
						w.enqueue(func() error { return w.restart(a) })
					}()
				}
				return nil
			})
		}
		return nil, nil
	},
	// Kills servers, and starts them again, cold, at the end.
	"kill-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleServers(f)
		w.stopServers(affected)
		return func() error { return w.startServers(affected) }, nil
	},
	// Removes all servers of a zone from the list and cuts their links. At the end they come back cold.
	"lose-zone": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		var affected []*server
		for _, s := range w.servers {
			if s.Zone() == f.Zone && s.target.State != backend.Removed {
				affected = append(affected, s)
				w.setState(s, backend.Removed)
			}
		}
		w.announce(announceDelay, affected...)
		heal, err := w.cutLinks(func(_ *agent, s *server) (bool, bool) {
			return s.Zone() == f.Zone, s.Zone() == f.Zone
		})
		return func() error {
			for _, s := range affected {
				for _, l := range s.links {
					l.Reset()
				}
				s.Restart()
				w.setState(s, backend.Up)
			}
			w.announce(announceDelay, affected...)
			return heal()
		}, err
	},
	// Cuts the links between a zone's agents and the other zones' servers, and the reverse. The zone's
	// agents still reach its servers. Discovery announces nothing.
	"cut-zone": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.cutLinks(func(a *agent, s *server) (bool, bool) {
			across := (a.zone == f.Zone) != (s.Zone() == f.Zone)
			return across, across
		})
	},
	// Drops what a zone's servers send to agents of other zones. Traffic in the other direction arrives.
	"cut-answers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.cutLinks(func(a *agent, s *server) (bool, bool) {
			return false, s.Zone() == f.Zone && a.zone != f.Zone
		})
	},
	// Cuts a site's uplink. Its agents reach neither discovery nor the agents and servers of other
	// sites, and other sites' agents reach nothing of it. Traffic within the site is not affected.
	"uplink": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		loss := &referee.Loss{Zone: f.Zone, From: w.log.Now(), To: -1}
		w.uplinkLosses = append(w.uplinkLosses, loss)
		inside := map[string]bool{}
		for _, name := range w.electorate(f.Zone) {
			inside[name] = true
		}
		healPeers, err := w.cutPeers(func(from, to string) bool { return inside[from] != inside[to] })
		if err != nil {
			return nil, err
		}
		setUnresponsive := func(on bool) {
			for _, a := range w.agents {
				if inside[a.name] && a.view != nil {
					a.view.SetUnresponsive(on)
				}
			}
		}
		setUnresponsive(true)
		heal, err := w.cutLinks(func(a *agent, s *server) (bool, bool) {
			across := (a.zone == f.Zone) != (s.Zone() == f.Zone)
			return across, across
		})
		return func() error {
			loss.To = w.log.Now()
			setUnresponsive(false)
			if healPeers != nil {
				if err := healPeers(); err != nil {
					return err
				}
			}
			return heal()
		}, err
	},
	// Drains servers, which discovery announces with a delay, and removes them at the end.
	"drain-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleServers(f)
		for _, s := range affected {
			w.setState(s, backend.Draining)
		}
		w.announce(announceDelay, affected...)
		return func() error {
			w.stopServers(affected)
			return nil
		}, nil
	},
	// Slows servers down by Factor.
	"slow-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.applyFault(f, backend.Faults{Slowdown: f.Factor})
	},
	// Slows servers down, and makes them fail a share of their requests.
	"grey-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.applyFault(f, backend.Faults{Slowdown: f.Factor, Errors: f.Share})
	},
	// Makes servers fail a share of their requests.
	"error-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.applyFault(f, backend.Faults{Errors: f.Share})
	},
	// Partitions the agents of a zone into Steps groups that can't reach each other. Nothing else is
	// affected.
	"split-site": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		// group has the number of each agent's group, from 1; 0 for agents of other zones.
		group, members := map[string]int{}, w.electorate(f.Zone)
		for i, at := range w.rng.Perm(len(members)) {
			group[members[at]] = 1 + i*max(f.Steps, 2)/len(members)
		}
		return w.cutPeers(func(from, to string) bool {
			return group[from] > 0 && group[to] > 0 && group[from] != group[to]
		})
	},
	// Drops what some agents send to other agents. They still receive.
	"mute-agents": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		mute := map[string]bool{}
		for _, a := range w.sampleAgents(f) {
			mute[a.name] = true
		}
		return w.cutPeers(func(from, _ string) bool { return mute[from] })
	},
	// Cuts the links of servers to all agents. Discovery announces nothing.
	"silence-servers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleServers(f)
		w.recordFaultStart(affected)
		return w.cutLinks(func(_ *agent, s *server) (bool, bool) {
			return slices.Contains(affected, s), slices.Contains(affected, s)
		})
	},
	// Makes servers corrupt a share of their answers.
	"spoil-answers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.applyFault(f, backend.Faults{Malformed: f.Share})
	},
	// Makes servers close the connection instead of sending a share of their answers.
	"lose-answers": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		return w.applyFault(f, backend.Faults{Lost: f.Share})
	},
	// Delays a share of the messages between some agents and the servers.
	"stall-links": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleAgents(f)
		set := func(q faultlink.Quality) error {
			for _, a := range affected {
				a.quality = q
			}
			return w.updateLinks()
		}
		return func() error { return set(faultlink.Quality{}) },
			set(faultlink.Quality{StallRate: f.Share, StallDelay: time.Duration(f.Delay)})
	},
	// Resets all open connections to servers, once.
	"reset-links": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		for _, s := range w.sampleServers(f) {
			for _, l := range s.links {
				l.Reset()
			}
		}
		return nil, nil
	},
	// Replaces servers by new ones, in Steps batches over Duration. In each batch new, cold servers are
	// listed and the old ones start to drain. The old ones are removed after the drain grace.
	"replace-servers": func(ctx context.Context, w *world, f *Fault) (func() error, error) {
		affected, steps := w.sampleServers(f), max(f.Steps, 1)
		drain := time.Duration(w.set.Contract.DrainGraceMs)*time.Millisecond + 500*time.Millisecond
		for i := range steps {
			batch := affected[len(affected)*i/steps : len(affected)*(i+1)/steps]
			at := time.Duration(f.Duration) * time.Duration(i) / time.Duration(steps)
			schedule(ctx, w, at, func() error {
				fresh := make([]*server, len(batch))
				for i, old := range batch {
					w.setState(old, backend.Draining)
					var err error
					if fresh[i], err = w.addServer(unixMs()); err != nil {
						return err
					}
				}
				w.announce(announceDelay, append(fresh, batch...)...)
				return nil
			})
			schedule(ctx, w, at+announceDelay+drain, func() error {
				w.stopServers(batch)
				return nil
			})
		}
		return nil, nil
	},
	// Holds back all changes that discovery announces to some agents.
	"freeze-discovery": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleAgents(f)
		for _, a := range affected {
			a.view.SetFrozen(true)
		}
		return func() error {
			for _, a := range affected {
				a.view.SetFrozen(false)
			}
			return nil
		}, nil
	},
	// Makes discovery answer none of some agents' calls.
	"silence-discovery": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleAgents(f)
		for _, a := range affected {
			a.view.SetUnresponsive(true)
		}
		return func() error {
			for _, a := range affected {
				a.view.SetUnresponsive(false)
			}
			return nil
		}, nil
	},
	// Makes discovery take Delay for each full list that it sends to some agents.
	"busy-discovery": func(_ context.Context, w *world, f *Fault) (func() error, error) {
		affected := w.sampleAgents(f)
		for _, a := range affected {
			a.view.SetListDelay(time.Duration(f.Delay))
		}
		return func() error {
			for _, a := range affected {
				a.view.SetListDelay(0)
			}
			return nil
		}, nil
	},
}

// unixMs returns the current time in Unix ms.
func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// pause suspends agents and returns a function that resumes them.
func (w *world) pause(affected []*agent) (func() error, error) {
	from := w.log.Now()
	for _, a := range affected {
		if err := a.proc.Stop(); err != nil {
			return nil, err
		}
	}
	return func() error {
		for _, a := range affected {
			if err := a.proc.Continue(); err != nil {
				return err
			}
			// A paused process can't answer in time the requests that it holds or is sent meanwhile.
			w.log.Add(referee.Event{At: from, Kind: referee.Killed, Agent: a.name, Deadline: w.log.Now()})
		}
		return nil
	}, nil
}

// schedule runs a task on the run's goroutine after a delay, unless the run has ended by then.
func schedule(ctx context.Context, w *world, delay time.Duration, task func() error) {
	time.AfterFunc(delay, func() {
		if ctx.Err() == nil {
			w.enqueue(task)
		}
	})
}

// setState sets a server's state in discovery's list. A server that comes up has its start time set to
// now.
func (w *world) setState(s *server, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.target.State = state; state == backend.Up {
		s.target.StartedMs = unixMs()
	}
}

// sample draws a fraction of the indices below n, in random order. A fraction of 0 means all of them.
func (w *world) sample(n int, fraction float64) []int {
	if fraction == 0 {
		fraction = 1
	}
	return w.rng.Perm(n)[:int(math.Round(fraction*float64(n)))]
}

// sampleAgents draws the agents that a fault affects.
func (w *world) sampleAgents(f *Fault) (affected []*agent) {
	var of []*agent
	for _, a := range w.agents {
		if f.Zone == "" || a.zone == f.Zone {
			of = append(of, a)
		}
	}
	for _, i := range w.sample(len(of), f.Fraction) {
		affected = append(affected, of[i])
	}
	return affected
}

// sampleServers draws the servers that a fault affects, from those that are listed and not spared.
func (w *world) sampleServers(f *Fault) (affected []*server) {
	var of []*server
	for _, s := range w.servers {
		if s.target.State != backend.Removed && (f.Zone == "" || s.Zone() == f.Zone) &&
			!slices.Contains(w.sparedServers, s.ID()) {
			of = append(of, s)
		}
	}
	for _, i := range w.sample(len(of), f.Fraction) {
		affected = append(affected, of[i])
	}
	return affected
}

// applyFault injects faults into the servers that a fault selects, and returns a function that clears
// them.
func (w *world) applyFault(f *Fault, faults backend.Faults) (func() error, error) {
	affected := w.sampleServers(f)
	w.recordFaultStart(affected)
	for _, s := range affected {
		s.SetFaults(faults)
	}
	return func() error {
		for _, s := range affected {
			s.SetFaults(backend.Faults{})
		}
		return nil
	}, nil
}

// recordFaultStart records the time at which a fault first affected each server.
func (w *world) recordFaultStart(affected []*server) {
	for _, s := range affected {
		if _, ok := w.firstFaultAt[s.ID()]; !ok {
			w.firstFaultAt[s.ID()] = w.log.Now()
		}
	}
}

// cutLinks cuts links between agents and servers, in the directions that which returns, and returns a
// function that heals them.
func (w *world) cutLinks(which func(*agent, *server) (to, from bool)) (heal func() error, err error) {
	w.mu.Lock()
	w.cuts = append(w.cuts, which)
	at := len(w.cuts) - 1
	w.mu.Unlock()
	return func() error {
		w.mu.Lock()
		w.cuts[at] = func(*agent, *server) (bool, bool) { return false, false }
		w.mu.Unlock()
		return w.updateLinks()
	}, w.updateLinks()
}

// stopServers stops servers. Discovery announces their removal with a delay.
func (w *world) stopServers(affected []*server) {
	for _, s := range affected {
		w.setState(s, backend.Removed)
		for _, l := range s.links {
			l.Down()
		}
	}
	w.announce(announceDelay, affected...)
}

// startServers starts servers again, cold.
func (w *world) startServers(affected []*server) error {
	for _, s := range affected {
		s.Restart()
		w.setState(s, backend.Up)
		for _, l := range s.links {
			if err := l.Up(); err != nil {
				return err
			}
		}
	}
	w.announce(announceDelay, affected...)
	return nil
}

// recordCrash records an agent process that ended unexpectedly or did not shut down gracefully.
func (w *world) recordCrash(description string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, description)
}

// isReady reports whether the agent at an address reports that it is ready.
func isReady(ctx context.Context, addr string) (bool, error) {
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
