// Command placement runs the placement experiment and prints its results.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/experiment"
)

func main() {
	policies := flag.String("policies", strings.Join(experiment.Policies(), ","), "policies; the suffix +hedge enables hedging")
	cases := flag.String("cases", "", "cases; empty means all")
	loads := flag.String("loads", "0.5,0.7,0.85,0.95", "loads, as shares of the slots that are busy")
	deployments := flag.String("deployments", "geada,union", "deployments: geada, union")
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	length := flag.Duration("length", 5*time.Second, "measured time")
	budget := flag.Float64("budget", 0, "measuring budget of each node for links between regions, in bytes per second; 0 means 1 KB/s")
	asJSON := flag.Bool("json", false, "print JSON")
	flag.Parse()
	base := experiment.Options{Seed: *seed, Length: *length, Budget: *budget}
	results := runAll(plan(base, *deployments, *cases, *loads, *policies))
	write := experiment.WriteText
	if *asJSON {
		write = experiment.WriteJSON
	}
	if err := write(os.Stdout, results); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// plan returns the options of the selected runs.
func plan(base experiment.Options, deployments, cases, loads, policies string) []experiment.Options {
	var all []experiment.Options
	for _, d := range []experiment.Deployment{experiment.GeadaSul(), experiment.Union()} {
		for _, c := range experiment.Cases() {
			for load := range strings.SplitSeq(loads, ",") {
				for name := range strings.SplitSeq(policies, ",") {
					if !selected(deployments, d.Name) || cases != "" && !selected(cases, c.Name) {
						continue
					}
					o := base
					o.Deployment, o.Case = d, c
					o.Policy, o.Hedge = strings.CutSuffix(name, "+hedge")
					_, _ = fmt.Sscan(load, &o.Load)
					all = append(all, o)
				}
			}
		}
	}
	return all
}

func selected(list, name string) bool {
	return strings.Contains(","+list+",", ","+name+",")
}

// runAll runs at most four experiments at a time, so that the machine stays usable.
func runAll(all []experiment.Options) []experiment.Result {
	results := make([]experiment.Result, len(all))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i, o := range all {
		wg.Go(func() {
			slots <- struct{}{}
			results[i] = experiment.Run(o)
			<-slots
		})
	}
	wg.Wait()
	return results
}
