// Package crowd tests daemons that run as processes against callers that try to exhaust them.
package crowd
