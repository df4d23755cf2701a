package lentilproxy

import "context"

// StorePurpose is what a call to the store is made for. Calls are counted by purpose.
type StorePurpose string

// The purposes of calls to the store.
const (
	PurposeRenewal   StorePurpose = "renewal"
	PurposeScan      StorePurpose = "scan"
	PurposeChanges   StorePurpose = "changes"
	PurposeClaim     StorePurpose = "claim"
	PurposeExpulsion StorePurpose = "expulsion"
	PurposeCleanup   StorePurpose = "clean_up"
	PurposeRelease   StorePurpose = "release"
	PurposeOther     StorePurpose = "other"
)

type purposeKey struct{}

// WithStorePurpose returns a context whose calls to the store are counted under a purpose.
func WithStorePurpose(ctx context.Context, purpose StorePurpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// StorePurposeOf returns the purpose of the calls of a context, or PurposeOther.
func StorePurposeOf(ctx context.Context) StorePurpose {
	if purpose, found := ctx.Value(purposeKey{}).(StorePurpose); found {
		return purpose
	}
	return PurposeOther
}
