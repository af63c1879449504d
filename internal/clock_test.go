package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"
)

// clockCalls are the functions of package time that read or wait on the real
// clock.
var clockCalls = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true,
}

// checkClockCalls fails if the file starts a goroutine or uses the real clock:
// the state machines of the decision layers must be deterministic.
func checkClockCalls(t *testing.T, path string) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if statement, ok := node.(*ast.GoStmt); ok {
			t.Errorf("%s: decision code must not start a goroutine", files.Position(statement.Pos()))
		}
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := selector.X.(*ast.Ident); ok && name.Name == "time" && clockCalls[selector.Sel.Name] {
			t.Errorf("%s: decision code must not use the real clock: take now as an argument", files.Position(selector.Pos()))
		}
		return true
	})
}
