// Package zonefailover decides for a whole fleet which zones receive traffic from whom. It is a pure
// state machine that runs at the leader of the consensus group (package consensus); its input is the
// time and the reports of the agents of all sites.
//
// A zone has two tracks: Remote for the agents of other sites, moved by what those sites report, and
// Local for the agents of its own site, moved by their own reports. So a site that is partitioned from
// the rest but healthy inside is left by the agents outside and used by those inside.
//
// # Guarantees
//
// A zone is ejected on a track only while a strict majority of the sites that may vote on it and have
// reported within MaxReportAge see it unhealthy, for UnhealthyFor without a gap, and only while no more
// than MaxEjectedFraction of the fleet's weight is ejected for remote agents. Beyond that the zone
// stays, and each agent's own demotions are all there is. A zone returns by a slow start in steps, the
// first one not before its EjectionTime is over, each further one not before SlowStartStep after the
// last, and only if some site has seen it healthy since. A zone that is ejected again within
// EscalationWindow stays out twice as long, up to MaxEjectionTime, so a flapping zone moves traffic
// rarely.
//
// # Limits
//
// It is not guaranteed that an unhealthy zone is ejected: without reports, or with most reporters
// gone, nothing changes.
package zonefailover
