// Package groups keeps what this VM knows of each service's targets beyond the
// catalog: which one leads, and how fresh the others are. It asks targets for
// their account of themselves where requests do not show enough.
package groups
