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
func (proc *process) reserve(w http.ResponseWriter, r *http.Request) {
	var p engine.ReservationRequest
	if err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &p); err != nil || p.Request != r.PathValue("request") {
		writeJSON(w, http.StatusBadRequest, kserve.ErrorResponse{Error: "malformed"})
		return
	}
	q := &seq{promptTokens: max(int(p.Tokens), 1), needsState: true, answerTokens: 1}
	proc.server.mu.Lock()
	reserved := !proc.server.draining && proc.server.roleState.Phase == engine.PhaseSteady && !proc.unresponsive &&
		len(proc.model.queue) == 0 && proc.reservations[p.Request] == nil && proc.model.admit(q) == nil
	if reserved && !q.running {
		proc.model.remove(q)
		reserved = false
	}
	if reserved {
		resv := &reservation{seq: q, tokens: q.promptTokens, stateArrived: make(chan struct{})}
		// While the read is in flight, its engine or the router cancels the reservation when it is no longer needed.
		// This timer is for the case that both are gone.
		resv.holdTimer = time.AfterFunc(maxReservationTime, func() { proc.dropReservation(p.Request, resv) })
		proc.reservations[p.Request] = resv
		proc.server.cfg.AuditLog.Add(audit.Record{Who: proc.server.cfg.Name, Kind: audit.Reserved, ID: p.Request})
	}
	proc.server.mu.Unlock()
	if reserved {
		proc.server.goroutines.Add(1)
		go func() { defer proc.server.goroutines.Done(); proc.notifyReader(p) }()
	}
	writeJSON(w, http.StatusOK, engine.ReservationResponse{Held: reserved})
}

// notifyReader tells the reading engine where to push the KV state. It retries, since the read may not have reached
// that engine yet.
func (proc *process) notifyReader(p engine.ReservationRequest) {
	const maxTries, retryDelay = 20, 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(proc.ctx, time.Second)
	defer cancel()
	for range maxTries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Source+engine.ReadPath+p.Request+"/place",
			bytes.NewReader([]byte(`{"place":"`+proc.server.addr+`"}`)))
		if err != nil {
			return
		}
		resp, err := proc.server.http.Do(req)
		if err != nil {
			return
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// setReservationAddr records where the KV state of a read in flight is to be pushed.
func (proc *process) setReservationAddr(w http.ResponseWriter, r *http.Request) {
	var p engine.ReservationNotice
	err := kserve.Decode(http.MaxBytesReader(w, r.Body, 4096), &p)
	proc.server.mu.Lock()
	reading, known := proc.reads[r.PathValue("request")]
	if known && err == nil {
		reading.reservationAddr = p.WriterAddr
	}
	proc.server.mu.Unlock()
	if err != nil || !known {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such read"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"noted": true})
}

// pushState pushes a KV state to its reservation. It reports whether the reservation's engine has accepted it.
func (proc *process) pushState(ctx context.Context, st *kvState, addr, request string) bool {
	proc.setClaimed(st, true)
	defer proc.setClaimed(st, false)
	var body bytes.Buffer
	if proc.sendState(ctx, &body, st, proc.server.cfg.Cell) != nil {
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
	resp, err := proc.server.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	proc.server.mu.Lock()
	proc.dropStateLocked(st, audit.Fetched)
	proc.server.mu.Unlock()
	return true
}

// acceptState accepts a KV state that is pushed to a reservation.
func (proc *process) acceptState(w http.ResponseWriter, r *http.Request) {
	sum := xxhash.New()
	_, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, 64<<20))
	answer, _ := strconv.Atoi(r.Header.Get(engine.InfoHeader))
	hold, _ := strconv.ParseFloat(r.Header.Get("Kv-Hold-Ms"), 64)
	proc.server.mu.Lock()
	resv := proc.reservations[r.PathValue("request")]
	ok := err == nil && resv != nil && resv.state == nil && strconv.FormatUint(sum.Sum64(), 16) == r.Header.Get(engine.ChecksumHeader)
	if ok {
		resv.state = &kvState{answerTokens: max(answer, 1)}
		resv.holdTimer.Reset(time.Duration(max(hold, 1) * 1e6))
		close(resv.stateArrived)
	}
	proc.server.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such place"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"taken": true})
}

// cancelReservationAt cancels a reservation at another engine after its read was cancelled.
func (proc *process) cancelReservationAt(addr, request string) {
	ctx, cancel := context.WithTimeout(proc.ctx, time.Second)
	defer cancel()
	if resp, err := proc.sendRequest(ctx, http.MethodDelete, addr, engine.ReservationPath+request); err == nil {
		resp.Body.Close()
	}
}

// cancelReservation cancels a reservation at a router's or an engine's request.
func (proc *process) cancelReservation(w http.ResponseWriter, r *http.Request) {
	proc.server.mu.Lock()
	resv := proc.reservations[r.PathValue("request")]
	proc.server.mu.Unlock()
	if resv == nil {
		writeJSON(w, http.StatusNotFound, kserve.ErrorResponse{Error: "no such place"})
		return
	}
	proc.dropReservation(r.PathValue("request"), resv)
	writeJSON(w, http.StatusOK, map[string]bool{"released": true})
}

// dropReservation frees the slot and memory of a reservation.
func (proc *process) dropReservation(request string, resv *reservation) {
	proc.server.mu.Lock()
	defer proc.server.mu.Unlock()
	if proc.reservations[request] != resv {
		return
	}
	delete(proc.reservations, request)
	resv.holdTimer.Stop()
	proc.model.remove(resv.seq)
	proc.server.cfg.AuditLog.Add(audit.Record{Who: proc.server.cfg.Name, Kind: audit.ReservationEnded, ID: request,
		Note: "given up"})
}

// takeReservation gives an attempt the reservation of its request. It reports whether there was one that holds the KV
// state.
func (proc *process) takeReservation(ctx context.Context, a *attempt, q **seq) bool {
	proc.server.mu.Lock()
	resv := proc.reservations[a.params.Request]
	if resv == nil {
		proc.server.mu.Unlock()
		return false
	}
	proc.server.mu.Unlock()
	if a.params.Handle != "place-"+a.params.Request { // the KV state is elsewhere: continue without the reservation
		proc.dropReservation(a.params.Request, resv)
		return false
	}
	select {
	case <-resv.stateArrived:
	case <-ctx.Done():
		return false
	}
	proc.server.mu.Lock()
	defer proc.server.mu.Unlock()
	if proc.reservations[a.params.Request] != resv {
		return false
	}
	delete(proc.reservations, a.params.Request)
	resv.holdTimer.Stop()
	resv.seq.answerTokens = min(resv.state.answerTokens, max(a.params.MaxTokens, 1))
	resv.seq.events = make(chan event, resv.seq.answerTokens+1)
	proc.model.stateFetched(resv.seq)
	*q = resv.seq
	proc.server.cfg.AuditLog.Add(audit.Record{Who: proc.server.cfg.Name, Kind: audit.ReservationEnded,
		ID: a.params.Request, Note: "taken"})
	return true
}
