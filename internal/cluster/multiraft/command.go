package multiraft

import "encoding/binary"

// commandHeaderBytes is the size of the header before each command in the log: the replica ID of the
// proposer and the proposer's ID of the command, 8 bytes each, little-endian. A proposer uses the header to
// recognize its own commands.
const commandHeaderBytes = 16

// maxSmallCommand is the capacity in bytes that is initially allocated for a command with its header.
const maxSmallCommand = 256

func commandHeader(replica, id uint64) []byte {
	b := make([]byte, 0, maxSmallCommand)
	b = binary.LittleEndian.AppendUint64(b, replica)
	return binary.LittleEndian.AppendUint64(b, id)
}

// splitCommand splits the data of a log entry into the header and the command. It reports false for an
// entry without a command, such as the first entry of a new leader.
func splitCommand(b []byte) (replica, id uint64, command []byte, ok bool) {
	if len(b) < commandHeaderBytes {
		return 0, 0, nil, false
	}
	return binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:]), b[commandHeaderBytes:], true
}
