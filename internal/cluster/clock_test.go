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

// The wall clock may jump by hours in either direction. Nothing here reads it except to show it: what is compared are
// durations of a clock that nobody sets.
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
					t.Errorf("%s: %s reads the wall clock (%s)", set.Position(n.Pos()), name, s.Sel.Name)
				}
				return true
			})
		}
		return nil
	})
	if err != nil || seen == 0 {
		t.Errorf("nothing was checked: %v", err)
	}
}
