// Package proc holds tests that run the programs as processes.
package proc
