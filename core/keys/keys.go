// Package keys formats and checks API keys of callers. Only hashes of keys are stored.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"lentilproxy/core/conf"
)

// Prefix is the start of every key, so that scanners can find leaked keys.
const Prefix = "lk_"

// MaxBytes is the maximum length of a presented key.
const MaxBytes = 256

// Verdict is the result of a key check.
type Verdict int

// The verdicts of Check.
const (
	Valid Verdict = iota
	Missing
	Unknown
	Withdrawn
)

// Format returns the key that a caller presents, lk_ID_SECRET.
func Format(identifier, secret string) string { return Prefix + identifier + "_" + secret }

// Hash returns the hexadecimal SHA-256 digest of a presented key.
func Hash(presented string) string {
	digest := sha256.Sum256([]byte(presented))
	return hex.EncodeToString(digest[:])
}

// Identifier returns the key resource name that a presented key contains, and whether the key is well-formed.
func Identifier(presented string) (string, bool) {
	rest, found := strings.CutPrefix(presented, Prefix)
	if !found || len(presented) > MaxBytes {
		return "", false
	}
	identifier, _, found := strings.Cut(rest, "_")
	return identifier, found
}

// Check looks up a presented key. It returns the key's identifier and workspace if the verdict is Valid.
func Check(state *conf.State, presented string) (identifier, workspace string, verdict Verdict) {
	if presented == "" {
		return "", "", Missing
	}
	identifier, found := Identifier(presented)
	if !found {
		return "", "", Unknown
	}
	key := state.Key(identifier)
	if key == nil || subtle.ConstantTimeCompare([]byte(key.Hash), []byte(Hash(presented))) != 1 {
		return "", "", Unknown
	}
	if key.Withdrawn {
		return "", "", Withdrawn
	}
	return identifier, key.Workspace, Valid
}

// StillValid reports whether a previously valid key exists, is not withdrawn and belongs to the same workspace.
func StillValid(state *conf.State, identifier, workspace string) bool {
	key := state.Key(identifier)
	return key != nil && !key.Withdrawn && key.Workspace == workspace
}
