package engine

import "net/http"

// HeaderRules change the headers of messages on a route. Names are in net/http's canonical form.
type HeaderRules struct {
	Remove []string
	Set    map[string]string
	Add    map[string]string
}

// Apply changes h: it removes, then sets, then adds.
func (r *HeaderRules) Apply(h http.Header) {
	for _, name := range r.Remove {
		delete(h, name)
	}
	for name, v := range r.Set {
		h[name] = []string{v}
	}
	for name, v := range r.Add {
		h[name] = append(h[name][:len(h[name]):len(h[name])], v)
	}
}
