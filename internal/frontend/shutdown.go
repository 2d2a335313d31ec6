package frontend

import "time"

// BacklogGrace is how long after SIGTERM the servers of all protocols accept connections. Clients may still come for 0.4 s,
// and those in a listener's backlog count as accepted.
const BacklogGrace = 600 * time.Millisecond
