// Package keys makes and checks callers' keys. Only hashes of secrets are stored.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"lentilproxy/core/conf"
)

// Prefix starts every key, so that leaked keys can be searched for.
const Prefix = "lk_"

// MaxBytes bounds what is accepted as a key.
const MaxBytes = 256

// Verdict is the outcome of a check.
type Verdict int

// The verdicts on a key.
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

// Identifier returns the name of the key resource that a presented key belongs to.
func Identifier(presented string) (string, bool) {
	rest, found := strings.CutPrefix(presented, Prefix)
	if !found || len(presented) > MaxBytes {
		return "", false
	}
	identifier, _, found := strings.Cut(rest, "_")
	return identifier, found
}

// Check looks a presented key up and returns the key's identifier and workspace if it is valid.
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

// Stands says whether a key that was valid still is, for the same workspace.
func Stands(state *conf.State, identifier, workspace string) bool {
	key := state.Key(identifier)
	return key != nil && !key.Withdrawn && key.Workspace == workspace
}
