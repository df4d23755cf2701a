// Command lentildev runs the stand-ins, the demonstration and the measurements.
package main

import (
	"os"

	"lentilproxy/io/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
