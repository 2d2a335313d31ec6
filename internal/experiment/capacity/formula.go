package capacity

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"strconv"
)

// errUnsupported is the error for a formula with any other element.
var errUnsupported = errors.New("a formula may only have numbers, names, + - * / and parentheses")

// Eval evaluates a formula in Go syntax, which may contain numbers, names of figures, + - * / and parentheses.
func Eval(formula string, figures map[string]float64) (float64, error) {
	expression, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, fmt.Errorf("%q is not a valid formula", formula)
	}
	return evalExpression(expression, figures)
}

func evalExpression(e ast.Expr, figures map[string]float64) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		if e.Kind != token.INT && e.Kind != token.FLOAT {
			return 0, fmt.Errorf("%s is not a number", e.Value)
		}
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		x, ok := figures[e.Name]
		if !ok {
			return 0, fmt.Errorf("%s is not defined on the page", e.Name)
		}
		return x, nil
	case *ast.ParenExpr:
		return evalExpression(e.X, figures)
	case *ast.BinaryExpr:
		return evalBinary(e, figures)
	}
	return 0, errUnsupported
}

func evalBinary(e *ast.BinaryExpr, figures map[string]float64) (float64, error) {
	x, err := evalExpression(e.X, figures)
	if err != nil {
		return 0, err
	}
	y, err := evalExpression(e.Y, figures)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	}
	return 0, errUnsupported
}

const (
	// roundingTolerance is the maximum relative difference between a value and its rounded form on the page.
	roundingTolerance = 0.03
	// absoluteTolerance is the maximum absolute difference for values of zero.
	absoluteTolerance = 1e-12
)

// Near reports whether a shown value equals an exact one up to rounding.
func Near(shown, exact float64) bool {
	return math.Abs(shown-exact) <= roundingTolerance*math.Abs(exact)+absoluteTolerance
}
