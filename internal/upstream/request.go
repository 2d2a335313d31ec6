package upstream

import "dunemoor/internal/engine"

// IsPlain reports whether the hosts of the request's route follow only the rules of HTTP or FastCGI. Other hosts
// follow the platform's protocol, in which a request runs only after its last byte has arrived.
func IsPlain(x *engine.Request) bool { return x.Route != nil && x.Route.Plain != nil }

// Streams returns how bodies are streamed on the request's route, or defaults if the route does not say.
func Streams(x *engine.Request, defaults *engine.Streams) *engine.Streams {
	if x.Route == nil || x.Route.Streams == nil {
		return defaults
	}
	return x.Route.Streams
}

// bodyConsumed reports whether a part of the streamed body has been read, so that the request can't be sent
// again.
func bodyConsumed(x *engine.Request) bool { return !x.Body.Buffered() && x.Body.Stream().Consumed() }
