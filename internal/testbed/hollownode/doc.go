// Package hollownode runs fleets of hundreds of agents on one machine, to measure what the control plane costs.
//
// A hollow agent is the daemon without clients, connections to servers and HTTP: the real controlplane.Member, relay.Node
// and rpc on loopback, each at an address of its own, many of them in a process. Machines of the core have a process
// each, with their state on disk, so that CPU time and memory are those of their role. Real daemons may run beside them
// as further agents. Model servers are loops that send heartbeats to an agent and switch to the next one when it is gone.
//
// Measured are messages and bytes by call, at the listeners of the called nodes (all traffic of an agent goes through a
// machine of the core); CPU time and memory of each process; and, by the monotonic clock that all processes of the
// machine share, when each change of the configuration and each drain has reached each agent. Links have no delay.
package hollownode
