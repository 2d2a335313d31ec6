package upstream

// Process identifies the process at the other end of a connection to a host. Two that are equal may be the same process;
// a host that has moved or restarted has a different Process. No request is written to a connection whose Process is no
// longer the current one of its host.
//
// Package http1 compares Processes. Package fastcgi compares host.generation, which counts the changes of a host's
// Process, because connections and the host's values must not be reused when an endpoint list returns to an earlier
// Process.
type Process struct {
	Addr    string // host:port or, for FastCGI only, "unix:" followed by a path
	Started int64  // start time in the endpoint list; used only in comparisons
}
