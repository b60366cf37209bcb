// Package lang is a placeholder of the workspace module.
package lang
