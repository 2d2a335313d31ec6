package multiraft

import "encoding/binary"

// commandHeaderBytes is the size of the header before each command in the log: the proposer's replica
// and its number for the command, 8 bytes each little-endian. By it a proposer recognizes its own
// commands.
const commandHeaderBytes = 16

// maxSmallCommand is the capacity that is allocated for a command with its header.
const maxSmallCommand = 256

func commandHeader(replica, id uint64) []byte {
	b := make([]byte, 0, maxSmallCommand)
	b = binary.LittleEndian.AppendUint64(b, replica)
	return binary.LittleEndian.AppendUint64(b, id)
}

// splitCommand splits the data of an entry. It reports false for an entry without a command, such as a
// leader's first.
func splitCommand(b []byte) (replica, id uint64, command []byte, ok bool) {
	if len(b) < commandHeaderBytes {
		return 0, 0, nil, false
	}
	return binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:]), b[commandHeaderBytes:], true
}
