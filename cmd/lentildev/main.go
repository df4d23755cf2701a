// Command lentildev runs fakes of the external systems, the demonstration, load experiments and soak tests.
package main

import (
	"os"

	"lentilproxy/io/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
