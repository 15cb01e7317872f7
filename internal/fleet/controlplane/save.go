package controlplane

// foreignRecordPrefix keeps the names of others' records apart from the member's own.
const foreignRecordPrefix = "x/"

// SaveRecord keeps a record of another part of the process on the member's disk, synced, and returns
// once it is there. It may take as long as the disk does; nothing of the member waits for it but
// what is next to be written.
func (m *Member) SaveRecord(name string, data []byte) error {
	return m.disk.Put(foreignRecordPrefix+name, data)
}

// LoadRecord is the record as it was kept last, by this life or an earlier one.
func (m *Member) LoadRecord(name string) ([]byte, bool) {
	return m.disk.Get(foreignRecordPrefix + name)
}
