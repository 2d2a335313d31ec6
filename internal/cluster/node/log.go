package node

// Messages of log entries that other programs match.
const (
	// LogLeaseTransferred is the message that the leader logs when a lease has been granted or freed.
	LogLeaseTransferred = "lease transferred"
)
