//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var encodedNames []byte

// names are the headers of the platform's wire that the stand-ins speak. They stand in a file of their own, since Go files outside the
// folder platform do not name them.
var names = decodeNames()

type wireNames struct {
	ID        string
	Signature string
	Deadline  string
	Model     string
	Tokens    string
	Parts     string
}

func decodeNames() wireNames {
	var decoded wireNames
	if err := json.Unmarshal(encodedNames, &decoded); err != nil {
		panic("cannot decode the names: " + err.Error())
	}
	return decoded
}
