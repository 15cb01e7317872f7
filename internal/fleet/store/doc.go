// Package store persists a few named records, the newest of each, in a buntdb file.
//
// Guaranteed: Put returns nil once the record survives a power loss. Open returns, for each name, the
// record of the last Put that returned nil, or of a later one whose caller received an error or no
// answer at all. Each record has a format version, a sequence number and its own checksum. A torn tail
// is cut off, since only the last write can be torn: the next one starts after the sync of the one
// before. If a damaged record is followed by others, the file is set aside as state.damaged and the
// store is empty, so that its owner joins as a new member.
//
// The file is at most about five times as large as its records, and a second one exists during
// compaction.
//
// buntdb ignores the errors of its own syncs, and its Shrink syncs neither the new file nor the
// directory. So this package syncs and compacts by itself, with buntdb's sync policy set to Never.
package store
