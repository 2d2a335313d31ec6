package frontend

import "time"

// BacklogGrace is how long after SIGTERM the servers of all protocols continue to accept connections. New clients may
// connect for up to 0.4 s after SIGTERM, and connections in a listener's backlog count as accepted.
const BacklogGrace = 600 * time.Millisecond
