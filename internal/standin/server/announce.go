package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const announceInterval = 500 * time.Millisecond

// announcement is the message with which a backend server registers with its node.
type announcement struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Born    int64  `json:"born"`
}

func (s *Server) announceLoop(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		s.announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) announce(ctx context.Context) {
	state, _ := s.state.Load().(string)
	addr := s.Advertise
	if addr == "" {
		addr = s.Addr()
	}
	body, err := json.Marshal(announcement{Service: s.Service, Addr: addr, Slots: s.Slots, State: state, Born: s.born})
	if err != nil || s.Announce == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Announce+"/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := s.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
