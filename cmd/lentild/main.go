// Command lentild is the entry daemon.
package main

import (
	"os"

	"lentilproxy/io/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
