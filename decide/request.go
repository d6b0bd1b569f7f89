package decide

// The path of a request: arrival, read, write, stream, end.

// arrive handles a new request: it refuses it, probes readers for it, or goes on to admit.
func (r *Router) arrive(ev *Event) {
	if ev.Job.Class >= len(r.cfg.Classes) { // whether it may be retried is unknown
		r.emit(Action{Kind: Fail, Request: ev.Request, Reason: "its class is unknown"})
		return
	}
	q := &request{id: ev.Request, job: ev.Job, arrivedAt: r.now, prefixKey: ev.Job.PrefixID}
	if q.prefixKey == 0 {
		q.prefixKey = ev.Job.SessionID
	}
	r.requests[q.id] = q
	r.timeoutBudget = min(r.timeoutBudget+timeoutBudgetPart, maxTimeoutBudget)
	// Each request adds the probes that it may cost to the budget, so that the probes of many routers cost no
	// more than those of few.
	r.probeBudget = min(r.probeBudget+maxProbeCost/max(r.cfg.ProbeCost, maxProbeCost/maxProbesEarned),
		float64(len(r.byID)))
	w := &r.classWork[q.job.Class]
	w.prompt += averageGain * (q.job.PromptTokens - w.prompt)
	if r.pastAcceptance() || !r.endsInTime(q) {
		r.giveUp(q, "the router is shutting down")
	} else if ev.RouterDelay > maxRouterDelay {
		r.giveUp(q, "the router itself has more to do than it can")
	} else if !r.probeReaders(q) {
		r.admit(q)
	}
}

// admit refuses a request, or sends it to its first server.
func (r *Router) admit(q *request) {
	if r.random() < r.refusalProbability(q) {
		r.giveUp(q, "the answer would come late")
		return
	}
	if n := q.job.Tenant; n < len(r.tenants) {
		r.tenants[n].remaining--
	}
	r.sendToReader(q)
}

// sendToReader sends a request to a reader, or if there is none to a writer that also reads.
func (r *Router) sendToReader(q *request) {
	if s := r.pickReader(q); s == nil || !r.send(q, s, reading) {
		q.needsMixed = true
		r.sendToWriter(q)
	}
}

// sendToWriter sends a request to a writer, or gives it up.
func (r *Router) sendToWriter(q *request) {
	if !r.endsInTime(q) {
		r.giveUp(q, "the router is shutting down")
	} else if s := r.pickWriter(q, true); s == nil || !r.send(q, s, writing) {
		r.giveUp(q, "no server may be tried")
	}
}

// firstToken handles an attempt's first token. From then on the answer belongs to the client, and nothing is
// held for the request any more, as a first token releases its holds.
func (r *Router) firstToken(ev *Event) {
	s := r.servers[ev.Server]
	q := r.requests[ev.Request]
	if s == nil || q == nil || q.sentTo != s || q.stage != writing {
		return
	}
	s.silentSince, s.lastResponse, s.unanswered = r.now, r.now, s.unanswered-1
	r.recordSuccess(q, s, float64(ev.Elapsed)/q.expectedTime)
	r.recordTransfer(distance(q, s), ev.Elapsed)
	q.stage, q.mayHold, q.stateAt, q.streamStart = streaming, false, nil, r.now
}

// attemptEnded handles the outcome of an attempt: it closes the request, sends it on, or gives it up.
func (r *Router) attemptEnded(ev *Event) {
	s := r.servers[ev.Server]
	if s != nil {
		r.recordReport(s, ev.Report)
	}
	q := r.requests[ev.Request]
	if q == nil || s == nil || q.sentTo != s || ev.Attempt != q.attempts-1 {
		return
	}
	r.recordOutcome(q, s, ev)
	r.updateHold(q, ev.Outcome)
	stage := q.stage
	q.sentTo = nil
	if stage == reading && ev.Outcome == ReadDone {
		if q.job.PrefixTokens > 0 && s.cachedTokens[q.prefixKey] == 0 && r.manyRouters {
			r.cachedShare += averageGain * (min(ev.CachedTokens/q.job.PrefixTokens, 1) - r.cachedShare)
		}
		q.stateAt, q.mayHold, q.needsMixed = s, true, false
		s.addCached(q.prefixKey, q.job.PrefixTokens)
		s.addCached(q.job.SessionID, q.job.PromptTokens)
	}
	// Four outcomes prove that an attempt at a writer has not executed the request.
	notRun := ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == NotStarted ||
		ev.Outcome == ReadDone
	if stage != reading && !notRun && !q.mayHaveRun {
		q.mayHaveRun, q.firstRunOn, q.firstRunAt = true, s, r.now-ev.Elapsed
	}
	if ev.Closed || q.closed {
		r.close(q)
		return
	}
	q.tried = append(q.tried, s)
	switch {
	case ev.Outcome == ReadDone:
		r.sendToWriter(q)
	case ev.Outcome == NotStarted ||
		float64(q.job.Deadline-r.now) <= r.typicalTime(Writer, nil)*firstTokenUnit,
		q.mayHold && (ev.Outcome == ConnectFailed || r.checksLiveness()) &&
			r.now+r.cfg.DialTimeout > r.releaseDeadline(q.holdStart):
		// No other attempt would be answered before the client leaves, or the hold would last too long: an
		// attempt that fails to connect does not use the hold, and the next one may fail to connect, too.
		r.giveUp(q, "no time for another attempt")
	case stage == reading || ev.NoState:
		q.stateAt = nil
		r.sendToReader(q)
	case q.stateAt == nil || !q.stateAt.ready && ev.Outcome != Full:
		r.sendToReader(q)
	default:
		r.sendToWriter(q)
	}
}

// recordOutcome removes an attempt's bookings and updates what is known of its server by the outcome.
func (r *Router) recordOutcome(q *request, s *server, ev *Event) {
	if q.stage == reading {
		s.queuedTokens = max(0, s.queuedTokens-q.bookedTokens)
	} else {
		s.streams--
		s.bookedTokens = max(0, s.bookedTokens-q.bookedTokens)
		s.sentTokens -= q.bookedTokens
	}
	if q.stage == streaming {
		if ev.Outcome == Served {
			w := &r.classWork[q.job.Class]
			w.answerTime += averageGain * (float64(r.now-q.streamStart) - w.answerTime)
		}
	} else {
		s.unanswered--
	}
	switch ev.Outcome {
	case Served:
		s.silentSince, s.lastResponse = r.now, r.now
	case Full:
		s.silentSince, s.lastResponse = r.now, r.now
		// This ejects a server that refuses what its peers accept. If half of the servers refuse, the cause
		// is load: see eject.
		if !ev.NoState {
			r.recordFailure(s, false)
		}
	case ReadDone:
		s.silentSince, s.lastResponse = r.now, r.now
		if r.cachedShare > 0 {
			q.expectedTime = max(
				q.expectedTime+(q.job.PromptTokens-ev.CachedTokens-q.bookedTokens)*r.nsPerToken,
				minReadTokens*r.nsPerToken)
		}
		r.recordSuccess(q, s, float64(ev.Elapsed)/q.expectedTime)
		if ns := float64(ev.Elapsed) /
			max(q.job.PromptTokens-ev.CachedTokens, minReadTokens); ns < r.nsPerToken {
			r.nsPerToken += fasterReadGain * (ns - r.nsPerToken)
		} else {
			r.nsPerToken *= 1 + slowerReadStep
		}
	case Error, Reset, TimedOut, ConnectFailed:
		if ev.Outcome == Error {
			s.lastResponse = r.now
		}
		if ev.Outcome == TimedOut && q.stage != streaming {
			if q.sentAt < s.silentSince && r.typicalTime(s.role, nil) < calmFactor {
				// The server has responded since, and no queue is long: the attempt or its response was lost.
				return
			}
			// The response would have taken at least that long. Under load that all servers share, the
			// typical time thus grows, and the timeouts with it.
			r.recordTime(s, float64(ev.Elapsed)/q.expectedTime)
			r.timeoutBudget = max(0, r.timeoutBudget-1)
			if q.stage == writing {
				r.recordTransfer(distance(q, s), ev.Elapsed)
			}
		}
		if q.stage != reading || ev.Outcome != Error {
			// An error at a reader costs little time and has no effect, while ejecting the reader would lose
			// its prefix cache.
			r.recordFailure(s, ev.Outcome == ConnectFailed)
		}
	}
}

// clientLeft closes a request whose client has left, as no answer is due any more. An attempt in flight is
// cancelled, and holds are released.
func (r *Router) clientLeft(id RequestID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	q.closed = true
	if q.sentTo == nil {
		r.close(q)
	} else if q.stage != streaming && r.cfg.MayCancel {
		r.emit(Action{Kind: Cancel, Request: q.id, Attempt: q.attempts - 1})
	}
}
