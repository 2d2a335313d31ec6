package frontend

import "strings"

// originForm converts a request target in absolute-form to origin-form, which is its path and query (RFC 9112, 3.2).
// Other targets are returned unchanged.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, afterScheme, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	i := strings.IndexAny(afterScheme, "/?")
	switch {
	case i < 0:
		return "/"
	case afterScheme[i] == '?':
		return "/" + afterScheme[i:]
	default:
		return afterScheme[i:]
	}
}
