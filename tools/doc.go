//go:build tools

// Package tools pins the formatter and the linter outside the product's dependencies.
package tools

import (
	_ "honnef.co/go/tools/cmd/staticcheck"
	_ "mvdan.cc/gofumpt"
)
