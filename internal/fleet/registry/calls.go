package registry

import (
	"slices"
	"time"
)

// Heartbeat records a heartbeat of a server and returns the report that the own source has to publish,
// nil if the heartbeat changes nothing or arrives too late to count. It returns ErrFull if the table is
// full and the server is not in it.
func (t *Table) Heartbeat(now time.Duration, instance *Instance) (update *Instance, err error) {
	e := t.entries[instance.ID]
	if e == nil && len(t.entries) >= maxInstances {
		return nil, ErrFull
	}
	if e != nil && e.current != nil {
		if e.current.State == Deregistered && instance.State == Draining {
			return t.adoptEnd(now, e), nil
		}
		if e.current.State == Deregistered || e.current.State == Draining && instance.State == Ready {
			return nil, nil
		}
		if instance.State == Ready && isLate(instance, e.current) {
			return nil, nil
		}
	}
	local := t.local[instance.ID]
	if local == nil {
		local = &localInstance{}
		t.local[instance.ID] = local
	}
	if local.isRepeated(instance) {
		if instance.Seq == local.latest.Seq {
			local.lastHeartbeat = now // an older call does not show that the server is still alive
		}
		return nil, nil
	}
	local.latest, local.lastHeartbeat = instance, now
	if local.published != nil && samePublished(local.published, instance) && e != nil && e.owner == t.ownSource {
		return nil, nil
	}
	local.published = instance
	t.Report(now, t.ownSource, instance)
	return instance, nil
}

// isRepeated returns whether a call is the latest one or an older one, and its state is not more final.
func (local *localInstance) isRepeated(instance *Instance) bool {
	return local.latest != nil && instance.Seq <= local.latest.Seq && instance.State <= local.latest.State
}

// isLate returns whether a heartbeat is older than the known report, or repeats the last heartbeat of a
// server that has expired. If the server does not number its calls, no heartbeat is late.
func isLate(instance, known *Instance) bool {
	return instance.Seq < known.Seq || known.State == Expired && instance.Seq == known.Seq && instance.Seq > 0
}

// samePublished returns whether two calls agree in everything that other agents need. The warm-up time
// is not compared, as it decreases without any change of the server.
func samePublished(a, b *Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.State == b.State &&
		a.Slots == b.Slots && a.Revision == b.Revision && slices.Equal(a.Models, b.Models)
}

// Deregister records that a server has ended and returns the report that the own source has to publish,
// as Heartbeat does.
func (t *Table) Deregister(now time.Duration, id string) (update *Instance, err error) {
	e := t.entries[id]
	if e == nil && len(t.entries) >= maxInstances {
		return nil, ErrFull
	}
	update = &Instance{ID: id, State: Deregistered}
	if e != nil && e.current != nil {
		if e.current.State == Deregistered {
			return t.adoptEnd(now, e), nil
		}
		ended := *e.current
		ended.State = Deregistered
		update = &ended
	}
	if local := t.local[id]; local != nil && local.latest != nil {
		update.Seq = max(update.Seq, local.latest.Seq)
	}
	update.Seq++
	delete(t.local, id)
	t.Report(now, t.ownSource, update)
	return update, nil
}

// adoptEnd makes the own source report the end of an instance, too, and returns the report that it has
// to publish, nil if it has published the end already. Only of its own source's reports can an agent
// know that they have reached a majority of the core.
func (t *Table) adoptEnd(now time.Duration, e *entry) *Instance {
	if own, reported := e.reports[t.ownSource]; reported && own.State == Deregistered {
		return nil
	}
	ended := *e.current
	delete(t.local, ended.ID)
	t.Report(now, t.ownSource, &ended)
	return &ended
}
