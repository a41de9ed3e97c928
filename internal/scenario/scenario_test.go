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

// TestScenarios runs the scripts in testdata, in which processes are killed, frozen,
// drained, replaced or cut off. The head of each script describes the failure that it
// guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			e := &environment{dir: env.WorkDir, searchPath: env.Getenv("PATH"), loopbackIP: newLoopbackIP(), usedAddrs: make(map[string]bool), processes: make(map[string]*process)}
			env.Values[environmentKey{}] = e
			examples, err := filepath.Abs("../../examples")
			if err != nil {
				return err
			}
			env.Setenv("EXAMPLES", examples)
			env.Defer(e.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster": script((*environment).cluster),
			"signal":  script((*environment).signal),
			"ended":   script((*environment).ended),
			"crashed": script((*environment).crashed),
			"start":   script((*environment).restart),
			"fault":   script((*environment).fault),
			"counted": script((*environment).counted),
			"path":    script((*environment).setRelayMode),
			"load":    script((*environment).load),
			"totals":  script((*environment).totals),
			"check":   script((*environment).check),
			"begin":   script((*environment).begin),
			"finish":  script((*environment).finish),
			"keys":    script((*environment).keys),
			"connect": script((*environment).connect),
			"intrude": script((*environment).intrude),
			"leave":   script((*environment).leave),
			"fetch":   script((*environment).fetch),
			"memory":  script((*environment).memory),
			"push":    script((*environment).push),
			"send":    script((*environment).send),
			"runs":    script((*environment).runs),
			"await":   script((*environment).await),
			"command": script((*environment).command),
			"edit":    script((*environment).edit),
		},
	})
}

// environmentKey is the key of the environment in testscript.Env.Values.
type environmentKey struct{}

// script adapts a method of environment to a command of the scripts. The script ends
// if the command fails, or if it succeeds where a failure is expected.
func script(do func(*environment, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		e, _ := ts.Value(environmentKey{}).(*environment)
		err := do(e, args)
		if (err != nil) != neg {
			ts.Fatalf("error: %v", err)
		}
	}
}
