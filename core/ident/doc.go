// Package ident defines the identifiers, units and outcomes shared by every other package.
package ident
