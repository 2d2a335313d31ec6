package cluster

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The clock on the wall may jump by hours either way. Nothing here reads it but to show it: what
// is compared is the time since something, which no one sets.
func TestNoWallClock(t *testing.T) {
	wall := map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "UTC": true, "Local": true, "Date": true, "ModTime": true}
	shown := map[string]bool{
		"storage.go quarantine":         true, // the name of what was set aside
		"failpoint/enabled.go WallTime": true, // of a failpoint
	}
	seen := 0
	err := filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		for _, decl := range f.Decls {
			name := ""
			if fn, ok := decl.(*ast.FuncDecl); ok {
				name = fn.Name.Name
			}
			ast.Inspect(decl, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok || !wall[s.Sel.Name] {
					return true
				}
				seen++
				if !shown[path+" "+name] {
					t.Errorf("%s: %s reads the clock on the wall (%s)", set.Position(n.Pos()), name, s.Sel.Name)
				}
				return true
			})
		}
		return nil
	})
	if err != nil || seen == 0 {
		t.Errorf("looked at nothing: %v", err)
	}
}
