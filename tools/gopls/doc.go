//go:build tools

// Package gopls pins the tool that renames identifiers. It has a module of its own, since it needs an older
// golang.org/x/tools than the linter.
package gopls

import _ "golang.org/x/tools/gopls"
