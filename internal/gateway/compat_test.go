package gateway

import (
	"testing"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil/compat"
)

// What operators' tools read at /admin/status.
func TestCompatStatus(t *testing.T) {
	compat.JSON(t, "status.json", &Status{})
	var causes, refusals []any
	for _, c := range body.Purposes() {
		causes = append(causes, c)
	}
	for _, r := range frontend.RejectReasons() {
		refusals = append(refusals, r)
	}
	compat.Values(t, "body-causes.txt", causes...)
	compat.Values(t, "refusals.txt", refusals...)
}
