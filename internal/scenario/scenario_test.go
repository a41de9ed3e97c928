package scenario

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillasail/vanillasail/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vanillasail": func() { exit(cli.Main()) },
	})
}

// Guards against broken promises when processes are killed, frozen, drained,
// replaced or cut off; each script says which failure it injects.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := &world{dir: env.WorkDir, path: env.Getenv("PATH"), ip: newIP(), taken: make(map[string]bool), processes: make(map[string]*process)}
			env.Values[worldKey{}] = w
			examples, err := filepath.Abs("../../examples")
			if err != nil {
				return err
			}
			env.Setenv("EXAMPLES", examples)
			env.Defer(w.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster": script((*world).cluster),
			"signal":  script((*world).signal),
			"ended":   script((*world).ended),
			"crashed": script((*world).crashed),
			"start":   script((*world).restart),
			"fault":   script((*world).fault),
			"counted": script((*world).counted),
			"path":    script((*world).setPath),
			"load":    script((*world).load),
			"totals":  script((*world).totals),
			"check":   script((*world).check),
			"begin":   script((*world).begin),
			"finish":  script((*world).finish),
			"keys":    script((*world).keys),
			"connect": script((*world).connect),
			"intrude": script((*world).intrude),
			"leave":   script((*world).leave),
			"fetch":   script((*world).fetch),
			"memory":  script((*world).memory),
			"push":    script((*world).push),
			"send":    script((*world).send),
			"runs":    script((*world).runs),
			"await":   script((*world).await),
			"command": script((*world).command),
			"edit":    script((*world).edit),
		},
	})
}

type worldKey struct{}

// script adapts a method of world to a command; a failed command ends the
// script with its error, or with none when the script expects the failure.
func script(do func(*world, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w, _ := ts.Value(worldKey{}).(*world)
		err := do(w, args)
		if (err != nil) != neg {
			ts.Fatalf("error: %v", err)
		}
	}
}
