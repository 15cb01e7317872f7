package singleton

// Fence is used by a receiver of a holder's actions. It rejects terms older than the newest one that it
// has seen. The zero value admits every term. It is not safe for concurrent use.
type Fence struct{ newest uint64 }

// Admit reports whether an action with the term may be executed.
func (f *Fence) Admit(term uint64) bool {
	if term < f.newest {
		return false
	}
	f.newest = term
	return true
}
