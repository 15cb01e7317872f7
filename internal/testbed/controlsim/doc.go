// Package controlsim simulates complete control planes in one process: the real core, chain, view, relay,
// deltasync, registry, lease and rpc code of each machine runs in the virtual time of testing/synctest, driven by
// a seed (deterministic simulation testing).
//
// Simulated are:
//   - the network (network.go, endpoint.go, conn.go): order, windows, delays, bandwidth, closed ports, silent and
//     rejecting partitions in one or both directions, resets, bytes that a partition delays, connections that fail
//     after 1.5 s without an acknowledgement, links that lose segments or are slow (link_quality.go);
//   - the disks (disk.go): synced records survive a power loss, a write in flight may or may not; slow, stalled,
//     full and lost disks;
//   - machines and their processes (machine.go, process.go);
//   - the workload: operators, model servers and echo clients (operators.go, model_servers.go, echo.go);
//   - faults (faults.go, inject.go): each is injected at its time, or just after a call of the core has arrived at a
//     machine.
//
// scenario.go derives a scenario from its number and the seed; checker.go checks the run against the guarantees of
// the control plane.
//
// A killed process can't be stopped in the middle of a step: its network and its disk end at once, and what its
// goroutines still do has no effect. A paused machine's processes can't be stopped at all: a pause blocks all that
// they read, write, accept, dial and sync, while their timers run on; their kernel goes on acknowledging, as a real
// one does. How a process reacts to a gap between its own ticks is not simulated.
//
// In some seeds operators and servers speak HTTP with the control API (control_api.go); in the others they call its
// backend. Not simulated are client requests, torn or damaged files (tested in package store), steady clocks of different rates,
// cores without disks. No process reads a wall clock (tested in package docscheck).
//
// Scenarios, disk latencies, identifiers and the choices of the workload follow from the seed. The order in which
// runnable goroutines proceed, the choice of select among ready channels, map iteration and the jitter of repairs
// (math/rand's global source in package controlplane) don't. Two runs of a seed therefore have the same faults at
// the same times, but not the same events; Replay reports where they diverge. A seed that violates a guarantee may
// need several runs to violate it again.
package controlsim
