package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// runVote is the task that owns the evidence and the voter. A restart of the task begins without either,
// like a restart of the process.
func (c *Coordinator) runVote(ctx context.Context) error {
	evidence := outlier.New(c.config.Vote.MaxEvidenceAge)
	config := c.config.Vote
	var promises *promiseStore
	var persisted chan writeResult
	if c.config.PromiseDir != "" {
		var err error
		if promises, config.EarlierPromisesFor, err = openPromiseStore(c.config.PromiseDir, config.MaxPromise()); err != nil {
			return err // without the store nothing may be promised: the next run would not know
		}
		defer promises.close()
		config.PersistsPromises, persisted = true, promises.saved
	}
	voter, err := ejection.New(config, evidence)
	if err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastReport lastZoneReport
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.voteMailbox.Ready():
			for msg, ok := c.voteMailbox.Poll(); ok; msg, ok = c.voteMailbox.Poll() {
				switch m := msg.(type) {
				case observation:
					evidence.Observe(m.Observation)
				case serverList:
					evidence.SetHosts(m.hosts)
				case voteMessage:
					if err := voter.Receive(c.now(), m.VoteMessage); err != nil {
						slog.Debug("vote: message rejected", "err", err)
					}
				case membersChanged:
					slog.Info("members changed", "members", len(m.list))
				}
			}
		case r := <-persisted:
			promises.writing = false
			if r.err != nil {
				return fmt.Errorf("vote: storing promises: %w", r.err)
			}
			voter.PromisesPersisted(r.until)
		case <-tick.C:
			actions := voter.Tick(c.now())
			if actions.PersistPromisesUntil > 0 && promises != nil {
				promises.persist(c.now(), actions.PersistPromisesUntil)
			}
			c.applyVoteActions(actions)
			if c.config.Consensus != nil {
				c.reportZones(&lastReport, evidence.Zones(c.now()))
			}
		}
	}
}

// applyVoteActions carries out what the voter asks.
func (c *Coordinator) applyVoteActions(actions *ejection.Actions) {
	for to, m := range actions.Messages {
		c.send(to, KindVote, m)
	}
	for _, n := range actions.Trace {
		level := slog.LevelDebug
		if n.Kind == "eject" || n.Kind == "return" {
			level = slog.LevelInfo
		}
		slog.Log(context.Background(), level, "vote: "+n.Kind, "host", n.Host.ID, "incarnation", n.Host.Incarnation, "why", n.Reason.String(),
			"attempts", n.Attempts, "bad", n.Failures, "roll", n.Electorate, "granters", len(n.Granters))
		c.trace.write(TraceLine{Kind: n.Kind, Host: n.Host.ID, Incarnation: n.Host.Incarnation, Reason: n.Reason.String(), Electorate: n.Electorate,
			Attempts: n.Attempts, Failures: n.Failures, Granters: n.Granters, RemainingMs: max(n.Until-n.At, 0).Milliseconds()}, n.At, c.now())
	}
	if actions.StandingsChanged {
		c.setOverrides(actions.Standings)
	}
}

// reportInterval is the time between two reports to the consensus group while nothing changes.
const reportInterval = 4 * time.Second

// lastZoneReport is the last report to the consensus group.
type lastZoneReport struct {
	seq    uint64
	sentAt time.Duration
	health []zonefailover.Health
}

// reportZones reports the observations of each zone to all voters of the group, at once if the health of
// a zone changed.
func (c *Coordinator) reportZones(last *lastZoneReport, zones []outlier.Zone) {
	r := zonefailover.Report{Version: zonefailover.Version, Agent: c.config.Membership.Name, Site: c.config.Membership.Zone, Region: c.config.Membership.Region, Incarnation: c.config.Membership.Incarnation}
	var health []zonefailover.Health
	for _, z := range zones[:min(len(zones), zonefailover.MaxZones)] {
		s := zonefailover.ZoneReport{Zone: z.Name, Weight: z.Weight, Observed: z.Observed, Unhealthy: z.Unhealthy, WithFailures: z.WithFailures, Attempts: z.Attempts, Failures: z.Failures, Utilization: min(z.Utilization, 1), UtilizationSamples: z.UtilizationSamples}
		r.Rate += float64(z.Attempts) / c.config.Vote.MaxEvidenceAge.Seconds()
		r.Zones, health = append(r.Zones, s), append(health, s.Health())
	}
	now := c.now()
	if slices.Equal(health, last.health) && now-last.sentAt < reportInterval && last.seq > 0 {
		return
	}
	last.seq, last.sentAt, last.health = last.seq+1, now, health
	r.Seq = last.seq
	for _, v := range c.config.Consensus.Voters {
		if v.Name != c.config.Membership.Name {
			c.send(v.Name, KindZoneReport, r)
		} else if c.consensus != nil {
			c.consensus.Mailbox().Put(consensus.Report{Report: r})
		}
	}
}
