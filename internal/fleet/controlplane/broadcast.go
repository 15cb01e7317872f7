package controlplane

// broadcast wakes any number of goroutines at once. It is guarded by Member.mu; the channel returned by
// wait may be received from without the lock.
type broadcast struct{ channel chan struct{} }

func newBroadcast() broadcast { return broadcast{channel: make(chan struct{})} }

// wait returns a channel that is closed by the next notify.
func (b *broadcast) wait() <-chan struct{} { return b.channel }

// notify wakes all waiting goroutines.
func (b *broadcast) notify() {
	close(b.channel)
	b.channel = make(chan struct{})
}
