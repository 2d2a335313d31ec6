package upstream

import (
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

// IsPlain reports whether the hosts of the request's route follow only the rules of HTTP or FastCGI. Other hosts
// follow the platform's protocol, in which a request runs only after its last byte has arrived.
func IsPlain(x *engine.Request) bool { return x.Route != nil && x.Route.Plain != nil }

// Streams returns the streaming settings of the request's route, or defaults if the route has none.
func Streams(x *engine.Request, defaults *engine.Streams) *engine.Streams {
	if x.Route == nil || x.Route.Streams == nil {
		return defaults
	}
	return x.Route.Streams
}

// UploadPace returns the pace that a host must keep while a request is sent to it. If the body is streamed in the platform's
// protocol, a write may not be blocked for longer than the request's timeout. While it is, the gateway reads no further, and
// the client's last byte may be in the buffers of the sockets already: the response is due within the timeout after that
// byte, whether or not the gateway has read it.
func UploadPace(x *engine.Request, defaults *engine.Streams) body.Pace {
	pace := Streams(x, defaults).Pace
	isStreamed := !x.Body.Buffered()
	if isStreamed && !IsPlain(x) && x.Timeout > 0 {
		pace.IdleTimeout = min(pace.IdleTimeout, body.LazyTimeout(x.Timeout))
	}
	return pace
}

// ResponseLimits returns the pace that a host must keep while it sends the body of a response, and the time at which the
// last byte is due. due is zero if only the pace limits the body. The pace has no minimum rate where the request's
// deadline applies to the header section only, as an event stream may be silent for long.
func ResponseLimits(x *engine.Request, defaults *engine.Streams) (pace body.Pace, due time.Time) {
	settings := Streams(x, defaults)
	pace = settings.Pace
	if settings.HeaderDeadlineOnly {
		pace.MinRate = 0
		return pace, time.Time{}
	}
	at, known := x.Due()
	if !known {
		return pace, time.Time{}
	}
	return pace, at
}

// bodyConsumed reports whether a part of the streamed body has been read, so that the request can't be sent
// again.
func bodyConsumed(x *engine.Request) bool { return !x.Body.Buffered() && x.Body.Stream().Consumed() }
