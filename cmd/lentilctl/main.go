// Command lentilctl is the operators' command-line client.
package main

import (
	"os"

	"lentilproxy/io/shell"
)

func main() {
	os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr))
}
