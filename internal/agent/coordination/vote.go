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

// runVote is the vote task, which owns the evidence and the voter. After a failure the task restarts with new
// ones, as after a restart of the process.
func (c *Coordinator) runVote(ctx context.Context) error {
	evidence := outlier.New(c.config.Vote.MaxEvidenceAge)
	config := c.config.Vote
	var promises *promiseStore
	var persisted chan writeResult
	if c.config.PromiseDir != "" {
		var err error
		if promises, config.EarlierPromisesFor, err = openPromiseStore(c.config.PromiseDir,
			config.MaxPromise()); err != nil {
			return err // without the store the voter must not promise anything: the next run would not know of it
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
			voter.PromisesPersisted(r.promisesUntil)
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

// applyVoteActions carries out the actions that the voter requests.
func (c *Coordinator) applyVoteActions(actions *ejection.Actions) {
	for to, m := range actions.Messages {
		c.send(to, KindVote, m)
	}
	for _, event := range actions.Trace {
		level := slog.LevelDebug
		if event.Kind == "eject" || event.Kind == "return" {
			level = slog.LevelInfo
		}
		slog.Log(context.Background(), level, "vote: "+event.Kind,
			"host", event.Host.ID, "incarnation", event.Host.Incarnation, "why", event.Reason.String(),
			"attempts", event.Attempts, "bad", event.Failures, "roll", event.Electorate,
			"granters", len(event.Granters))
		c.trace.write(TraceLine{Kind: event.Kind, Host: event.Host.ID, Incarnation: event.Host.Incarnation,
			Reason: event.Reason.String(), Electorate: event.Electorate,
			Attempts: event.Attempts, Failures: event.Failures, Granters: event.Granters,
			RemainingMs: max(event.Until-event.At, 0).Milliseconds()}, event.At, c.now())
	}
	if actions.StandingsChanged {
		c.setOverrides(actions.Standings)
	}
}

// reportInterval is the time between two reports to the consensus group while no zone's health changes.
const reportInterval = 4 * time.Second

// lastZoneReport describes the last report to the consensus group.
type lastZoneReport struct {
	seq    uint64 // sequence number; 0 before the first report
	sentAt time.Duration
	health []zonefailover.Health // health of each reported zone
}

// reportZones sends the observations of each zone to all voters of the consensus group: at once if the health
// of a zone changed, otherwise once every reportInterval.
func (c *Coordinator) reportZones(last *lastZoneReport, zones []outlier.Zone) {
	r := zonefailover.Report{Version: zonefailover.Version, Agent: c.config.Membership.Name,
		Site: c.config.Membership.Zone, Region: c.config.Membership.Region,
		Incarnation: c.config.Membership.Incarnation}
	var health []zonefailover.Health
	for _, z := range zones[:min(len(zones), zonefailover.MaxZones)] {
		s := zonefailover.ZoneReport{Zone: z.Name, Weight: z.Weight, Observed: z.Observed, Unhealthy: z.Unhealthy,
			WithFailures: z.WithFailures, Attempts: z.Attempts, Failures: z.Failures,
			Utilization: min(z.Utilization, 1), UtilizationSamples: z.UtilizationSamples}
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
