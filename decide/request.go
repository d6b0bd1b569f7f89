package decide

// The path of a request: arrived, read, written, streamed, done.

// arrive takes a new request and sends it to a reader.
func (r *Router) arrive(ev *Event) {
	if ev.Job.Class >= len(r.set.Classes) { // of unknown effect
		r.act(Action{Kind: Fail, Request: ev.Request, Reason: "its class is unknown"})
		return
	}
	q := &request{id: ev.Request, job: ev.Job, arrived: r.now, key: ev.Job.PrefixID}
	if q.key == 0 {
		q.key = ev.Job.SessionID
	}
	r.requests[q.id] = q
	r.again = min(r.again+againPart, againMost)
	// Each request pays for the probes that it may cost, so that many routers cost no more than few.
	r.probes = min(r.probes+probePoints/max(r.set.ProbeCost, probePoints/mostProbes), float64(len(r.order)))
	w := &r.work[q.job.Class]
	w.prompt += answerGain * (q.job.PromptTokens - w.prompt)
	if r.tooLate() || !r.endsInTime(q) {
		r.giveUp(q, "the router is shutting down")
	} else if ev.RouterDelay > waitedLong {
		r.giveUp(q, "the router itself has more to do than it can")
	} else if !r.ask(q) {
		r.admit(q)
	}
}

// admit refuses a request or begins with it.
func (r *Router) admit(q *request) {
	if r.random() < r.refusal(q) {
		r.giveUp(q, "the answer would come late")
		return
	}
	if n := q.job.Tenant; n < len(r.tenants) {
		r.tenants[n].left--
	}
	r.read(q)
}

// read sends a request to a reader; without any, to a writer that reads by itself.
func (r *Router) read(q *request) {
	if s := r.pickReader(q); s == nil || !r.send(q, s, reading) {
		q.alone = true
		r.write(q)
	}
}

// write sends a request whose state waits to a writer, or gives it up.
func (r *Router) write(q *request) {
	if !r.endsInTime(q) {
		r.giveUp(q, "the router is shutting down")
	} else if s := r.pickWriter(q, true); s == nil || !r.send(q, s, writing) {
		r.giveUp(q, "no server may be tried")
	}
}

// first: the answer has begun. It now belongs to the client, and all else that was held is let go.
func (r *Router) first(ev *Event) {
	s := r.servers[ev.Server]
	q := r.requests[ev.Request]
	if s == nil || q == nil || q.out != s || q.stage != writing {
		return
	}
	s.quietFrom, s.heardAt, s.pending = r.now, r.now, s.pending-1 // it has been heard
	r.good(q, s, float64(ev.Elapsed)/q.expect)
	r.learnMove(distance(q, s), ev.Elapsed)
	q.stage, q.mayHold, q.state, q.startedAt = streaming, false, nil, r.now
}

// ended: an attempt has its outcome.
func (r *Router) ended(ev *Event) {
	s := r.servers[ev.Server]
	if s != nil {
		r.report(s, ev.Report)
	}
	q := r.requests[ev.Request]
	if q == nil || s == nil || q.out != s || ev.Attempt != q.attempts-1 {
		return
	}
	r.unbook(q, s, ev)
	r.noteHeld(q, ev.Outcome)
	was := q.stage
	q.out = nil
	if was == reading && ev.Outcome == ReadDone {
		if q.job.PrefixTokens > 0 && s.kept[q.key] == 0 && r.many {
			r.found += answerGain * (min(ev.CachedTokens/q.job.PrefixTokens, 1) - r.found)
		}
		q.state, q.mayHold, q.alone = s, true, false
		s.keep(q.key, q.job.PrefixTokens)
		s.keep(q.job.SessionID, q.job.PromptTokens)
	}
	// Four outcomes prove that an attempt at a writer never ran.
	unrun := ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == NotStarted || ev.Outcome == ReadDone
	if was != reading && !unrun && !q.mayRun {
		q.mayRun, q.runOn, q.runAt = true, s, r.now-ev.Elapsed
	}
	if ev.Closed || q.closed {
		r.close(q)
		return
	}
	q.tried = append(q.tried, s)
	switch {
	case ev.Outcome == ReadDone:
		r.write(q)
	case ev.Outcome == NotStarted || float64(q.job.Deadline-r.now) <= r.usual(Writer, nil)*writeExpected,
		q.mayHold && (ev.Outcome == ConnectFailed || r.seeks()) &&
			r.now+r.set.DialTimeout > r.heldUntil(q.heldAt):
		// Nothing more would be answered before the client leaves, or what is held would stay too long: no
		// connection that does not come up claims it, and the next may not come up either.
		r.giveUp(q, "no time for another attempt")
	case was == reading || ev.NoState:
		q.state = nil
		r.read(q)
	case q.state == nil || !q.state.ready && ev.Outcome != Full:
		r.read(q)
	default:
		r.write(q)
	}
}

// unbook undoes what an attempt had booked and draws the lesson of its outcome.
func (r *Router) unbook(q *request, s *server, ev *Event) {
	if q.stage == reading {
		s.waiting = max(0, s.waiting-q.tokens)
	} else {
		s.streams--
		s.booked = max(0, s.booked-q.tokens)
		s.sent -= q.tokens
	}
	if q.stage == streaming {
		if ev.Outcome == Served {
			w := &r.work[q.job.Class]
			w.answer += answerGain * (float64(r.now-q.startedAt) - w.answer)
		}
	} else {
		s.pending--
	}
	switch ev.Outcome {
	case Served:
		s.quietFrom, s.heardAt = r.now, r.now
	case Full:
		s.quietFrom, s.heardAt = r.now, r.now
		// Against one that turns away what its peers take. When half of a pool does, it is load: see benchIt.
		if !ev.NoState {
			r.bad(s, false)
		}
	case ReadDone:
		s.quietFrom, s.heardAt = r.now, r.now
		if r.found > 0 {
			q.expect = max(q.expect+(q.job.PromptTokens-ev.CachedTokens-q.tokens)*r.pace, paceTokens*r.pace)
		}
		r.good(q, s, float64(ev.Elapsed)/q.expect)
		if pace := float64(ev.Elapsed) / max(q.job.PromptTokens-ev.CachedTokens, paceTokens); pace < r.pace {
			r.pace += paceDown * (pace - r.pace)
		} else {
			r.pace *= 1 + paceUp
		}
	case Error, Reset, TimedOut, ConnectFailed:
		if ev.Outcome == Error {
			s.heardAt = r.now
		}
		if ev.Outcome == TimedOut && q.stage != streaming {
			if q.sentAt < s.quietFrom && r.usual(s.role, nil) < calmTimes {
				return // the server was heard since, and no queue is long: this one or its answer was lost
			}
			// At least so long: under load that all share, the usual time grows and time-outs with it.
			r.learn(s, float64(ev.Elapsed)/q.expect)
			r.again = max(0, r.again-1)
			if q.stage == writing {
				r.learnMove(distance(q, s), ev.Elapsed)
			}
		}
		if q.stage != reading || ev.Outcome != Error {
			// An error at a reader costs a moment and no effect; leaving the reader out costs its texts.
			r.bad(s, ev.Outcome == ConnectFailed)
		}
	}
}

// clientGone: nothing is owed any more; what is out is called off, what is held is let go.
func (r *Router) clientGone(id RequestID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	q.closed = true
	if q.out == nil {
		r.close(q)
	} else if q.stage != streaming && r.set.MayCancel {
		r.act(Action{Kind: Cancel, Request: q.id, Attempt: q.attempts - 1})
	}
}
