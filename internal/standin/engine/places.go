package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"mintdoor/internal/audit"
	"mintdoor/internal/engine"
	"mintdoor/internal/kserve"

	"github.com/cespare/xxhash/v2"
)

// Places ahead: a writer holds a slot and memory for a request that is still read elsewhere, and the state
// moves there as soon as it is read.

// longestRead bounds how long a place waits for its state.
const longestRead = 30 * time.Second

// reserve holds a place, if a slot and memory are free at once and nothing waits.
func (l *life) reserve(w http.ResponseWriter, r *http.Request) {
	var p engine.ReservationRequest
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &p); err != nil || p.Request != r.PathValue("request") {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: "malformed"})
		return
	}
	q := &seq{prompt: max(int(p.Tokens), 1), wantsState: true, answer: 1}
	l.s.mu.Lock()
	held := !l.s.drained && l.s.role.Phase == engine.PhaseSteady && !l.silent && len(l.model.queue) == 0 && l.places[p.Request] == nil && l.model.admit(q) == nil
	if held && !q.running {
		l.model.leave(q)
		held = false
	}
	if held {
		pl := &place{seq: q, tokens: q.prompt, come: make(chan struct{})}
		// While the read is out its engine and the router see to the place; this is for when both are gone.
		pl.lease = time.AfterFunc(longestRead, func() { l.dropPlace(p.Request, pl) })
		l.places[p.Request] = pl
		l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.Reserved, ID: p.Request})
	}
	l.s.mu.Unlock()
	if held {
		l.s.work.Add(1)
		go func() { defer l.s.work.Done(); l.tellReader(p) }()
	}
	writeJSON(w, http.StatusOK, engine.ReservationResponse{Held: held})
}

// tellReader tells the reading engine where the state is to go. The read may not have come there yet.
func (l *life) tellReader(p engine.ReservationRequest) {
	const tries, between = 20, 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	for range tries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Source+engine.ReadPath+p.Request+"/place",
			bytes.NewReader([]byte(`{"place":"`+l.s.addr+`"}`)))
		if err != nil {
			return
		}
		resp, err := l.s.http.Do(req)
		if err != nil {
			return
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		pause(ctx, between)
	}
}

func (l *life) tellPlace(w http.ResponseWriter, r *http.Request) {
	var p engine.ReservationNotice
	err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &p)
	l.s.mu.Lock()
	under, known := l.reads[r.PathValue("request")]
	if known && err == nil {
		under.place = p.WriterAddr
	}
	l.s.mu.Unlock()
	if err != nil || !known {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such read"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"noted": true})
}

// push moves a state to the place held for it.
func (l *life) push(ctx context.Context, st *state, addr, request string) bool {
	l.claimed(st, true)
	defer l.claimed(st, false)
	var body bytes.Buffer
	if l.sendState(ctx, &body, st, l.s.cfg.Cell) != nil {
		return false
	}
	sum := strconv.FormatUint(xxhash.Sum64(body.Bytes()), 16)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+engine.ReservationPath+request+"/state", &body)
	if err != nil {
		return false
	}
	req.Header.Set(engine.ChecksumHeader, sum)
	req.Header.Set(engine.TokensHeader, strconv.Itoa(st.prompt))
	req.Header.Set(engine.InfoHeader, strconv.Itoa(st.answer))
	req.Header.Set("Kv-Hold-Ms", strconv.FormatFloat(float64(st.hold)/1e6, 'f', -1, 64))
	resp, err := l.s.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	l.s.mu.Lock()
	l.dropLocked(st, audit.Fetched)
	l.s.mu.Unlock()
	return true
}

// stateComes takes a state that was pushed to a place.
func (l *life) stateComes(w http.ResponseWriter, r *http.Request) {
	sum := xxhash.New()
	_, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, 64<<20))
	answer, _ := strconv.Atoi(r.Header.Get(engine.InfoHeader))
	hold, _ := strconv.ParseFloat(r.Header.Get("Kv-Hold-Ms"), 64)
	l.s.mu.Lock()
	p := l.places[r.PathValue("request")]
	ok := err == nil && p != nil && p.state == nil && strconv.FormatUint(sum.Sum64(), 16) == r.Header.Get(engine.ChecksumHeader)
	if ok {
		p.state = &state{answer: max(answer, 1)}
		p.lease.Reset(time.Duration(max(hold, 1) * 1e6))
		close(p.come)
	}
	l.s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such place"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"taken": true})
}

// dropPlaceAt gives up a place at another engine, for a read that was called off.
func (l *life) dropPlaceAt(addr, request string) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	if resp, err := l.ask(ctx, http.MethodDelete, addr, engine.ReservationPath+request); err == nil {
		resp.Body.Close()
	}
}

func (l *life) giveUp(w http.ResponseWriter, r *http.Request) {
	l.s.mu.Lock()
	p := l.places[r.PathValue("request")]
	l.s.mu.Unlock()
	if p == nil {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such place"})
		return
	}
	l.dropPlace(r.PathValue("request"), p)
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

func (l *life) dropPlace(request string, p *place) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.places[request] != p {
		return
	}
	delete(l.places, request)
	p.lease.Stop()
	l.model.leave(p.seq)
	l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.ReservationEnded, ID: request, Note: "given up"})
}

// takePlace gives a send the place that was held for its request. It reports whether there was one with
// the state in it.
func (l *life) takePlace(ctx context.Context, a *attempt, q **seq) bool {
	l.s.mu.Lock()
	p := l.places[a.p.Request]
	if p == nil {
		l.s.mu.Unlock()
		return false
	}
	l.s.mu.Unlock()
	if a.p.Handle != "place-"+a.p.Request { // the state is elsewhere: take the way of all others
		l.dropPlace(a.p.Request, p)
		return false
	}
	select {
	case <-p.come:
	case <-ctx.Done():
		return false
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.places[a.p.Request] != p {
		return false
	}
	delete(l.places, a.p.Request)
	p.lease.Stop()
	p.seq.answer = min(p.state.answer, max(a.p.MaxTokens, 1))
	p.seq.events = make(chan event, p.seq.answer+1)
	l.model.fetched(p.seq)
	*q = p.seq
	l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.ReservationEnded, ID: a.p.Request, Note: "taken"})
	return true
}
