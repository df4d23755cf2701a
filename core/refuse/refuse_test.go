package refuse

import (
	"testing"

	"github.com/matryer/is"
)

func TestMergedRefusalKeepsUnknownExecution(t *testing.T) {
	is := is.New(t)
	unknown := MaybeRun(502, CodeBackendFailed, "")
	notRun := NotRun(503, CodeNoCapacity, "")
	is.Equal(Merge(nil, notRun), notRun)
	is.Equal(Merge(unknown, notRun), unknown)
	is.Equal(Merge(notRun, unknown), unknown)
	is.Equal(Merge(notRun, notRun), notRun)
}
