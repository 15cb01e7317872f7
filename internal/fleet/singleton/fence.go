package singleton

// Fence is the side of a receiver that acts for holders: it rejects terms older than the newest
// that it has seen. The zero value admits all. It is not safe for concurrent use.
type Fence struct{ newest uint64 }

// Admit reports whether an action of that term may be done.
func (f *Fence) Admit(term uint64) bool {
	if term < f.newest {
		return false
	}
	f.newest = term
	return true
}
