package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against failing for a directory that does not exist yet, and against an error
// without a remedy.
func TestKeysCreateTheirDirectory(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	assert.NilError(t, os.WriteFile(file, nil, 0o600))
	for name, c := range map[string]struct{ dir, want string }{
		"exists": {dir, ""}, "does not exist": {filepath.Join(dir, "a", "b"), ""}, "is a file": {file, "choose another one with -dir"},
	} {
		t.Run(name, func(t *testing.T) {
			err := (&keysCommand{dir: c.dir, validity: time.Hour}).write([]string{"n1"})
			if c.want != "" {
				assert.ErrorContains(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			_, err = os.Stat(filepath.Join(c.dir, "n1.key"))
			assert.NilError(t, err)
		})
	}
}
