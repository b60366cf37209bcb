// Package standin is a placeholder of the workspace module.
package standin
