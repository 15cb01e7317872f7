// Package zonefailover decides for a whole fleet how much traffic the agents of each site send to each zone. It
// is a pure state machine that runs at each voter of the consensus group (package consensus); the leader proposes
// its results. Its inputs are the time and the reports of the agents of all sites.
//
// A zone has two tracks: Remote applies to the agents of other sites and follows their reports, Local applies to
// the agents of the zone's own site and follows theirs. A site that is partitioned from the others but healthy
// inside is therefore ejected for remote agents, while its own agents continue to use it.
//
// # Guarantees
//
// A zone is ejected on a track only if a strict majority of the voting sites has seen it unhealthy for
// UnhealthyFor without interruption. For the Remote track the voting sites are the other sites that have reported
// within MaxReportAge; for the Local track it is the zone's own site alone.
//
// A zone is not ejected for remote agents if more than MaxEjectedFraction of the fleet's weight would then be
// ejected for them. In that case it stays in use, and only the demotions by each agent itself apply.
//
// A zone returns in the steps of a slow start. The first step comes no earlier than the end of its EjectionTime.
// Each further step comes no earlier than SlowStartStep after the step before, and only if some site has seen the
// zone healthy since then. A zone that is ejected again within EscalationWindow stays ejected twice as long, up to
// MaxEjectionTime, so that a flapping zone rarely moves traffic.
//
// # Limits
//
// It is not guaranteed that an unhealthy zone is ejected: nothing changes without reports or while most reporters
// are gone.
package zonefailover
