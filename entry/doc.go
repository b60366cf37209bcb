// Package entry is a placeholder of the workspace module.
package entry
