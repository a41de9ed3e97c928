// Command vanillasail runs a node of the load balancer, and tools to operate and test
// it.
package main

import (
	"os"

	"github.com/vanillasail/vanillasail/internal/cli"
)

func main() { os.Exit(cli.Main()) }
