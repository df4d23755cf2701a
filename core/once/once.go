// Package once decides what may happen to a request that must run at most once.
//
// A host claims the request's idempotency key in the table before any byte leaves, and records the outcome
// afterwards. A claim is never taken over: a request whose outcome was not recorded stays unknown.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

const (
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// MaxRecordedBytes bounds the body of a recorded answer.
	MaxRecordedBytes = 64 << 10
	// Prefix starts the keys of all ledger rows.
	Prefix = "once/"
)

// Stage is how far a request has come.
type Stage string

// The stages of a request.
const (
	StageClaimed Stage = "claimed"
	StageDone    Stage = "done"
)

// Record is the ledger's row of one request.
type Record struct {
	// Token is unique to the attempt that claimed the key.
	Token string `json:"token"`
	Host  string `json:"host"`
	// Digest identifies the request's content.
	Digest    string    `json:"digest"`
	Stage     Stage     `json:"stage"`
	ClaimedAt time.Time `json:"claimed_at"`
	// ExpiresAt is when the row may be removed.
	ExpiresAt   time.Time `json:"expires_at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	// Truncated bodies were too large to record.
	Truncated bool `json:"truncated,omitempty"`
}

// Verdict says what to do with a request.
type Verdict int

// The verdicts on a request.
const (
	// Send means that this attempt holds the claim.
	Send Verdict = iota
	// Claim means that nobody holds the claim.
	Claim
	// Replay means that the recorded answer is to be returned.
	Replay
	// Mismatch means that the key was used for another request.
	Mismatch
	// Undecided means that the request may run, or may have run, elsewhere.
	Undecided
)

// RowKey returns the key of the ledger row for an idempotency key.
func RowKey(route, workspace, key string) string {
	return Prefix + route + "/" + digest([]byte(workspace), []byte(key))
}

// Digest identifies a request by its method, path and body.
func Digest(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

func digest(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		var size [8]byte
		for index := range size {
			size[index] = byte(len(part) >> (8 * index))
		}
		hash.Write(size[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// NewClaim returns the record that claims a key.
func NewClaim(now time.Time, token, host, digest string, window time.Duration) Record {
	return Record{Token: token, Host: host, Digest: digest, Stage: StageClaimed, ClaimedAt: now, ExpiresAt: now.Add(window)}
}

// Finish returns the record of a claim whose request was answered.
func (record Record) Finish(status int, contentType string, body []byte) Record {
	record.Stage = StageDone
	record.Status = status
	record.ContentType = contentType
	if len(body) > MaxRecordedBytes {
		record.Truncated = true
		return record
	}
	record.Body = body
	return record
}

// Judge decides by the row that the table holds, which is nil if there is none.
func Judge(row *Record, token, digest string) Verdict {
	switch {
	case row == nil:
		return Claim
	case row.Token == token && row.Stage == StageClaimed:
		return Send
	case row.Digest != digest:
		return Mismatch
	case row.Stage == StageDone && !row.Truncated:
		return Replay
	default:
		return Undecided
	}
}

// Expired says whether a row may be removed.
func (record Record) Expired(now time.Time) bool {
	return !record.ExpiresAt.IsZero() && now.After(record.ExpiresAt)
}

// Encode returns the row's value.
func (record Record) Encode() []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic("once: a record cannot fail to encode: " + err.Error())
	}
	return value
}

// Decode reads a row's value; an empty one yields nil.
func Decode(value []byte) (*Record, error) {
	if len(value) == 0 {
		return nil, nil
	}
	record := &Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}
