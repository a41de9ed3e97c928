package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { trials["memory"] = memory }

const (
	// memoryPoll is how often the platform checks the memory of the processes.
	memoryPoll = 5 * time.Millisecond
	// nodeRestart is the delay before an ended process is started again.
	nodeRestart = 500 * time.Millisecond
	// uploadBytes is the size of a large upload; the configuration allows 64 MB.
	uploadBytes = 60 << 20
	uploadChunk = 64 << 10
	// usualUploadBytes is the mean size of an upload in the deployments.
	usualUploadBytes = 60 << 10
	// uploadRounds is how often each machine gets one upload, and uploadPause the time
	// between.
	uploadRounds = 6
	uploadPause  = 4 * time.Second
	// lostAllowed is how many requests the rule LOST tolerates.
	lostAllowed = 3
)

// memory sends large uploads, within the limit of the configuration, beside orders on kept
// connections. Without the disruption the uploads are small.
func memory(d *deployment, trouble bool) ([]string, error) {
	size := uploadBytes
	if !trouble {
		size = usualUploadBytes
	}
	if err := d.start(6); err != nil {
		return nil, err
	}
	watches := make([]*memoryWatch, len(d.machines))
	for i, m := range d.machines {
		watches[i] = m.watchMemory()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := d.keepOrdering(ctx, d.machines, 3)
	time.Sleep(time.Second)
	body := bytes.Repeat([]byte("f"), size)
	for round := range uploadRounds {
		var wg sync.WaitGroup
		for _, m := range d.machines {
			wg.Go(func() {
				id := fmt.Sprintf("upload-%s-%d", m.name, round)
				c := connection{machine: m}
				defer c.close()
				r := c.send(request{method: "POST", path: "/upload/" + id, id: id, body: body, chunk: uploadChunk, deadline: 1500 * time.Millisecond})
				d.log("client of %s: %s of %d bytes got %d, error %v", m.name, id, size, r.status, r.err)
			})
		}
		wg.Wait()
		time.Sleep(uploadPause)
	}
	cancel()
	results := wait()
	return lostToMemory(d, watches, results), nil
}

// lostToMemory returns a finding if more requests than allowed were lost on kept
// connections of nodes that exceeded their memory, while their servers were at work.
func lostToMemory(d *deployment, watches []*memoryWatch, results []result) []string {
	ran := make(map[string]arrival)
	for _, m := range d.machines {
		for _, a := range m.server.runs() {
			ran[a.id] = a
		}
	}
	ends := make(map[*machine][]time.Time)
	killed := 0
	for i, m := range d.machines {
		peak, at := watches[i].stop()
		ends[m] = at
		killed += len(at)
		d.log("%s: peak of %d MB, killed %d times", m.name, peak>>20, len(at))
	}
	lost := 0
	for _, r := range results {
		a, begun := ran[r.id]
		if r.status != 0 || !r.kept || !begun {
			continue
		}
		for _, at := range ends[r.machine] {
			if at.After(r.sent) && at.Before(r.ended.Add(memoryPoll)) {
				lost++
				d.log("%s: lost: a server began to run it at %.3f, the node was killed at %.3f, the client's connection ended at %.3f (%v)",
					r.id, d.since(a.at), d.since(at), d.since(r.ended), r.err)
			}
		}
	}
	d.log("nodes were killed %d times; %d orders that had been passed on were lost on kept connections", killed, lost)
	if lost > lostAllowed {
		return []string{fmt.Sprintf("LOST: %d orders on kept connections were passed on to sound servers and got no answer, because %d times a node exceeded its memory", lost, killed)}
	}
	return nil
}

// memoryWatch ends a node whose anonymous memory exceeds the limit of the settings, as the
// platform does, and starts it again.
type memoryWatch struct {
	done   chan struct{}
	result chan struct{}
	peak   int
	ends   []time.Time
}

func (m *machine) watchMemory() *memoryWatch {
	w := &memoryWatch{done: make(chan struct{}), result: make(chan struct{})}
	go func() {
		defer close(w.result)
		for {
			select {
			case <-w.done:
				return
			case <-time.After(memoryPoll):
			}
			used := anonymousMemory(m.pid())
			w.peak = max(w.peak, used)
			if used <= memoryLimit {
				continue
			}
			w.ends = append(w.ends, time.Now())
			m.log("%s: the process has %d MB and is killed: its limit is %d MB", m.name, used>>20, memoryLimit>>20)
			m.kill()
			time.Sleep(nodeRestart)
			if err := m.startNode(); err != nil {
				m.log("%s: %v", m.name, err)
			}
		}
	}()
	return w
}

// stop ends the watch and returns the peak in bytes and the times of the ends.
func (w *memoryWatch) stop() (peak int, ends []time.Time) {
	close(w.done)
	<-w.result
	return w.peak, w.ends
}

// anonymousMemory returns the resident anonymous memory of a process in bytes, or zero if
// it has ended.
func anonymousMemory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb << 10
		}
	}
	return 0
}
