// Package store persists a few named records in a buntdb file. It keeps the newest record of each name.
//
// It guarantees that a record survives a power loss once its Put has returned nil. For each name, Open
// restores the record of the last Put that returned nil, or of a later Put that returned an error or
// had not returned.
//
// Each record has a format version, a sequence number and its own checksum. A write starts only after
// the previous one was synced, so only the last record can be torn, and Open cuts it off. If a damaged
// record is followed by others, Open renames the file to state.damaged and starts with an empty store,
// so that its owner joins as a new member.
//
// The file is compacted once it is larger than four times the size of its records plus 512 KiB. While
// operations are waiting, the compaction is postponed until the file has twice that size. A second
// file exists during a compaction.
//
// buntdb ignores the errors of its own syncs, and its Shrink syncs neither the new file nor the
// directory. Therefore this package syncs and compacts the file itself and sets buntdb's sync policy
// to Never.
package store
