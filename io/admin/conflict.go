package admin

import "fmt"

func conflictMessage(expected, generation, revision int64) string {
	return fmt.Sprintf("conflict: generation %d was expected, but %d is in the configuration since revision %d", expected, generation, revision)
}
