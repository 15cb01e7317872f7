// Package controlsim plays whole control sides in one process: the real core, chain, view, hub, feed,
// registry, leases and rpc of each machine, in the virtual time of testing/synctest, from a seed.
//
// Simulated are the network (network.go: order, windows, delays, bandwidth, closed ports, silent and
// refusing cuts one way or both, resets, bytes that a cut holds up, connections that break after 1.5 s
// without an acknowledgement), the disks (disk.go: what was synced outlives a loss of power, an operation
// under way is there or not; slow, stalled, full, lost), machines and their processes (machine.go), and
// what acts on them: operators, servers, callers and faults (faults.go). A fault hits at its time, or in
// the moments after a call of the core arrives at a machine. scenarios.go draws a run from the point and
// the seed, and referee.go holds it to what is promised.
//
// A killed process can't be stopped in the middle of a step: its network and its disk end at once, and
// what its goroutines still do reaches nobody. A frozen machine's processes can't be stopped at all: a
// freeze holds up all that they read, write, accept, dial and sync, while their timers go on; their
// kernel goes on to acknowledge, as a real one does. What a process does on waking from a gap between
// its own ticks isn't played.
//
// Not simulated: the daemon's HTTP interfaces (operators and servers call core and hub where the control
// calls do), clients' requests, torn or damaged files (those are package store's and tested there),
// clocks that jump, cores without disks, other kinds of packet loss than whole cuts.
//
// Plans, delays of disks, names and the choices of operators, servers and callers follow from the seed.
// Not from the seed are the order in which runnable goroutines go on, choices of select among channels
// that are ready, the iteration of maps, and the jitter of repairs (math/rand's own source in package
// core). So two plays of a seed have the same faults at the same times, but not each event; Replay tells
// where they part. A seed that breaks a promise may take some plays to break it again.
package controlsim
