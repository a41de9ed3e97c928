// Command generate writes the settings reference to the named file.
package main

import (
	"fmt"
	"os"

	"github.com/vanillasail/vanillasail/internal/settings"
)

func main() {
	if err := os.WriteFile(os.Args[1], []byte(settings.Reference()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
