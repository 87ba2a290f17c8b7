// Package docscheck has no code, only tests: what the pages cite (paths, tests, functions,
// types, log events) exists in the tree, and docs/README.md lists every page.
package docscheck
