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

// errUnsupported is the error of a formula with anything else.
var errUnsupported = errors.New("a formula has numbers, names, + - * / and brackets")

// Eval evaluates a formula: numbers, names of figures, + - * / and parentheses, as in Go.
func Eval(formula string, figures map[string]float64) (float64, error) {
	expression, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, fmt.Errorf("%q is no formula", formula)
	}
	return evalExpression(expression, figures)
}

func evalExpression(e ast.Expr, figures map[string]float64) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		if e.Kind != token.INT && e.Kind != token.FLOAT {
			return 0, fmt.Errorf("%s is no number", e.Value)
		}
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		x, ok := figures[e.Name]
		if !ok {
			return 0, fmt.Errorf("%s is no figure of the page", e.Name)
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
	// roundingTolerance is the relative difference that rounding may make between a figure and what is shown.
	roundingTolerance = 0.03
	// absoluteTolerance is for figures that are zero.
	absoluteTolerance = 1e-12
)

// Near reports whether a shown figure is an exact one, rounded.
func Near(shown, exact float64) bool {
	return math.Abs(shown-exact) <= roundingTolerance*math.Abs(exact)+absoluteTolerance
}
