package sched

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// Guards against a field of Usage that is added and never reaches other hosts.
func TestCompactUsageHasAllFields(t *testing.T) {
	is := is.New(t)
	usage := Usage{}
	fields := reflect.ValueOf(&usage).Elem()
	for index := range fields.NumField() {
		fields.Field(index).SetInt(int64(index + 1))
		is.Equal(ExpandUsage(usage.Compact()), usage)
	}
	is.Equal(ExpandUsage(Usage{}.Compact()), Usage{})
	is.Equal(len(Usage{}.Compact()), 0)
}
