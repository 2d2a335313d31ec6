package node

// Messages of log entries that other programs count.
const (
	// LogLeaseTransferred is logged by the leader when a lease was granted or freed.
	LogLeaseTransferred = "lease transferred"
)
