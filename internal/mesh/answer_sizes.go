package mesh

import "sync"

// answerWeight is the weight of the newest answer in the mean size of a route's answers.
const answerWeight = 0.1

// answerSizes holds the mean size of the answers of each route in bytes. Its zero value
// is ready to use.
type answerSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// observe records the size of an answer.
func (a *answerSizes) observe(route string, bytes int64) {
	if bytes < 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.means == nil {
		a.means = make(map[string]float64)
	}
	mean, known := a.means[route]
	if !known {
		mean = float64(bytes)
	}
	a.means[route] = mean + answerWeight*(float64(bytes)-mean)
}

// mean returns the mean size of a route's answers; zero if none is known.
func (a *answerSizes) mean(route string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.means[route])
}
