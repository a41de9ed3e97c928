// Command vanillasail runs a node of the load balancer and its tools.
package main

import (
	"os"

	"github.com/vanillasail/vanillasail/internal/cli"
)

func main() { os.Exit(cli.Main()) }
