package wal

import "hash/crc32"

// Layout of a file (design 10.1). All integers are little-endian and all
// checksums CRC-32C. The golden bytes in format_test.go hold it.
//
//	file:          identity | synced offset | record group...
//	identity:      magic[8] id[32] snapshotBytes[8] crc[4] zero[4]
//	synced offset: syncedBytes[8] crc[4] zero[4]
//	record group:  marker[4] payloadBytes[4] offset[8] syncedBytes[8] payloadCRC[4] headerCRC[4] payload
//	payload:       (recordBytes[4] record)...
//
// The identity is written once, before the file takes its name. The synced
// offset is overwritten in place while the file is idle; a torn one is ignored.
// Its checksum and headerCRC are salted with the id, see salt.
const (
	magic             = "RHWAL\x00\x02\n"
	idBytes           = 32
	identityBytes     = 56
	syncedOffsetBytes = 16
	fileHeaderBytes   = identityBytes + syncedOffsetBytes
	groupHeaderBytes  = 32
	recordHeaderBytes = 4
	groupMarker       = 0xB47CA7C4

	// MaxRecord bounds one record.
	MaxRecord = 32 << 20
	// maxPayload bounds one record group; a longer queue is written as several.
	maxPayload = MaxRecord + recordHeaderBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// salt is the start of the checksums that belong to one file. It keeps record
// groups of other files, and copies of files inside records, from being taken for
// groups of this one.
func salt(id string) uint32 { return crc32.Checksum([]byte(id), castagnoli) }
