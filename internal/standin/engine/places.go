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

// Reservations. A writer reserves a slot and memory for a request that is still being read elsewhere, and the KV
// state is pushed there as soon as the read ends.

// maxReservationTime limits how long a reservation waits for its KV state.
const maxReservationTime = 30 * time.Second

// reserve makes a reservation if a slot and memory are free at once and no sequence is queued.
func (l *process) reserve(w http.ResponseWriter, r *http.Request) {
	var p engine.ReservationRequest
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &p); err != nil || p.Request != r.PathValue("request") {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: "malformed"})
		return
	}
	q := &seq{promptTokens: max(int(p.Tokens), 1), needsState: true, answerTokens: 1}
	l.s.mu.Lock()
	held := !l.s.draining && l.s.roleState.Phase == engine.PhaseSteady && !l.unresponsive && len(l.model.queue) == 0 && l.reservations[p.Request] == nil && l.model.admit(q) == nil
	if held && !q.running {
		l.model.remove(q)
		held = false
	}
	if held {
		pl := &reservation{seq: q, tokens: q.promptTokens, stateArrived: make(chan struct{})}
		// While the read is in flight, its engine and the router cancel the reservation if need be. This timer is for
		// the case that both are gone.
		pl.holdTimer = time.AfterFunc(maxReservationTime, func() { l.dropReservation(p.Request, pl) })
		l.reservations[p.Request] = pl
		l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.Reserved, ID: p.Request})
	}
	l.s.mu.Unlock()
	if held {
		l.s.goroutines.Add(1)
		go func() { defer l.s.goroutines.Done(); l.notifyReader(p) }()
	}
	writeJSON(w, http.StatusOK, engine.ReservationResponse{Held: held})
}

// notifyReader tells the reading engine where to push the KV state. It retries, since the read may not have reached
// that engine yet.
func (l *process) notifyReader(p engine.ReservationRequest) {
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
		sleep(ctx, between)
	}
}

// setReservationAddr records where the KV state of a read in flight is to be pushed.
func (l *process) setReservationAddr(w http.ResponseWriter, r *http.Request) {
	var p engine.ReservationNotice
	err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &p)
	l.s.mu.Lock()
	under, known := l.reads[r.PathValue("request")]
	if known && err == nil {
		under.reservationAddr = p.WriterAddr
	}
	l.s.mu.Unlock()
	if err != nil || !known {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such read"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"noted": true})
}

// pushState pushes a KV state to its reservation. It reports whether the reservation's engine has accepted it.
func (l *process) pushState(ctx context.Context, st *kvState, addr, request string) bool {
	l.setClaimed(st, true)
	defer l.setClaimed(st, false)
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
	req.Header.Set(engine.TokensHeader, strconv.Itoa(st.promptTokens))
	req.Header.Set(engine.InfoHeader, strconv.Itoa(st.answerTokens))
	req.Header.Set("Kv-Hold-Ms", strconv.FormatFloat(float64(st.holdTime)/1e6, 'f', -1, 64))
	resp, err := l.s.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	l.s.mu.Lock()
	l.dropStateLocked(st, audit.Fetched)
	l.s.mu.Unlock()
	return true
}

// acceptState accepts a KV state that is pushed to a reservation.
func (l *process) acceptState(w http.ResponseWriter, r *http.Request) {
	sum := xxhash.New()
	_, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, 64<<20))
	answer, _ := strconv.Atoi(r.Header.Get(engine.InfoHeader))
	hold, _ := strconv.ParseFloat(r.Header.Get("Kv-Hold-Ms"), 64)
	l.s.mu.Lock()
	p := l.reservations[r.PathValue("request")]
	ok := err == nil && p != nil && p.state == nil && strconv.FormatUint(sum.Sum64(), 16) == r.Header.Get(engine.ChecksumHeader)
	if ok {
		p.state = &kvState{answerTokens: max(answer, 1)}
		p.holdTimer.Reset(time.Duration(max(hold, 1) * 1e6))
		close(p.stateArrived)
	}
	l.s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such place"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"taken": true})
}

// cancelReservationAt cancels a reservation at another engine after its read was cancelled.
func (l *process) cancelReservationAt(addr, request string) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	if resp, err := l.sendRequest(ctx, http.MethodDelete, addr, engine.ReservationPath+request); err == nil {
		resp.Body.Close()
	}
}

// cancelReservation cancels a reservation at a router's or an engine's request.
func (l *process) cancelReservation(w http.ResponseWriter, r *http.Request) {
	l.s.mu.Lock()
	p := l.reservations[r.PathValue("request")]
	l.s.mu.Unlock()
	if p == nil {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such place"})
		return
	}
	l.dropReservation(r.PathValue("request"), p)
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

// dropReservation frees the slot and memory of a reservation.
func (l *process) dropReservation(request string, p *reservation) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.reservations[request] != p {
		return
	}
	delete(l.reservations, request)
	p.holdTimer.Stop()
	l.model.remove(p.seq)
	l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.ReservationEnded, ID: request, Note: "given up"})
}

// takeReservation gives an attempt the reservation of its request. It reports whether there was one that holds the KV
// state.
func (l *process) takeReservation(ctx context.Context, a *attempt, q **seq) bool {
	l.s.mu.Lock()
	p := l.reservations[a.p.Request]
	if p == nil {
		l.s.mu.Unlock()
		return false
	}
	l.s.mu.Unlock()
	if a.p.Handle != "place-"+a.p.Request { // the KV state is elsewhere: continue without the reservation
		l.dropReservation(a.p.Request, p)
		return false
	}
	select {
	case <-p.stateArrived:
	case <-ctx.Done():
		return false
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.reservations[a.p.Request] != p {
		return false
	}
	delete(l.reservations, a.p.Request)
	p.holdTimer.Stop()
	p.seq.answerTokens = min(p.state.answerTokens, max(a.p.MaxTokens, 1))
	p.seq.events = make(chan event, p.seq.answerTokens+1)
	l.model.stateFetched(p.seq)
	*q = p.seq
	l.s.cfg.AuditLog.Add(audit.Record{Who: l.s.cfg.Name, Kind: audit.ReservationEnded, ID: a.p.Request, Note: "taken"})
	return true
}
