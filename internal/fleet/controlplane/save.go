package controlplane

// savePrefix keeps the names of others' records apart from the member's own.
const savePrefix = "x/"

// Save keeps a record of another part of the process on the member's disk, synced, and returns
// once it is there. It may take as long as the disk does; nothing of the member waits for it but
// what is next to be written.
func (m *Member) Save(name string, data []byte) error { return m.store.Put(savePrefix+name, data) }

// Saved is the record as it was kept last, by this life or an earlier one.
func (m *Member) Saved(name string) ([]byte, bool) { return m.store.Get(savePrefix + name) }
