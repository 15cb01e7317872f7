// Package controlsim simulates complete control planes in one process: the real core, chain, view, relay,
// deltasync, registry, lease and rpc code of each machine runs in the virtual time of testing/synctest, driven by
// a seed (deterministic simulation testing).
//
// The simulation covers:
//   - the network (network.go, endpoint.go, conn.go): order, windows, delays, bandwidth, closed ports, resets,
//     partitions in one or both directions that drop or reject segments, bytes that arrive late after a partition,
//     connections that fail after 1.5 s without an acknowledgement, and links that lose segments or are slow
//     (link_quality.go);
//   - the disks (disk.go): a power loss keeps synced records, and may lose a write in progress; disks may be slow,
//     stalled, full or lost;
//   - machines and their processes (machine.go, process.go), and the time that their input and output takes on one
//     processor (processor.go), in the tests that set it;
//   - the workload: operators, model servers and echo clients (operators.go, model_servers.go, echo.go);
//   - faults (faults.go, inject.go): each is injected at its time, or just after a call of the core has arrived at a
//     machine.
//
// scenario.go derives a scenario from its number and the seed; checker.go checks the run against the guarantees of
// the control plane.
//
// The goroutines of a killed process can't be stopped at once. Instead the process loses its network and its disk, so
// that its goroutines have no effect until they end. Those of a paused process can't be suspended either: a pause
// blocks its reads, writes, accepts, dials and syncs, while its timers continue. The kernel of the machine still
// acknowledges segments, like a real one. The simulation doesn't cover how a process reacts to a gap between its own
// ticks.
//
// With some seeds operators and servers use the control API over HTTP (control_api.go); with the others they call its
// backend. The simulation doesn't cover client requests, torn or damaged files (tested in package store), monotonic
// clocks that run at different rates, and cores without disks. No process reads a wall clock (tested in package
// docscheck).
//
// Scenarios, disk latencies, identifiers and the choices of the workload follow from the seed. The scheduling of
// goroutines, the choice of select among ready channels, the order of map iteration and the jitter of repairs
// (math/rand's global source in package controlplane) don't. Two runs of a seed therefore have the same faults at
// the same times, but not the same events; Replay reports where they diverge. A violation may not recur in each run
// of its seed.
package controlsim
