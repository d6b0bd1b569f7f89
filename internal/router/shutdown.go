package router

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
)

// Shutdown is the plan of the router's end, as decide.Shutdown has it, on the wall clock.
type Shutdown struct {
	AcceptUntil time.Time
	ListenUntil time.Time
	GiveUpBy    time.Time
	LingerFor   time.Duration
}

// ShutDown tells the router that the process has taken the signal to end at some time. Requests are still taken for as
// long as the plan says; what is open goes on. Drain ends the router afterwards.
func (r *Router) ShutDown(taken time.Time) Shutdown {
	plan := decide.PlanShutdown(r.moduleTime(taken), r.cfg.Settings.Classes)
	r.post(message{kind: shuttingDown, plan: &plan})
	return Shutdown{AcceptUntil: r.wallTime(plan.AcceptUntil), ListenUntil: r.wallTime(plan.ListenUntil), GiveUpBy: r.wallTime(plan.GiveUpBy),
		LingerFor: time.Duration(plan.LingerFor)}
}

// shutDown bounds all that is open by the plan, and tells the module.
func (r *Router) shutDown(plan *decide.Shutdown) {
	if r.shutdownPlan != nil {
		return
	}
	r.shutdownPlan = plan
	for _, f := range r.table.rows {
		r.limitToShutdown(f)
	}
	r.notifyModule(&decide.Event{Kind: decide.ShuttingDown, Shutdown: plan, Report: engine.NoReport()})
}

// limitToShutdown has a request answered by the time that the plan leaves to it. A stream that has begun runs on.
func (r *Router) limitToShutdown(f *requestRow) {
	if r.shutdownPlan == nil || f.inFlight != nil && f.inFlight.streaming {
		return
	}
	f.deadline = min(f.deadline, r.shutdownPlan.GiveUpBy)
	f.guard().LimitDeadline(r.wallTime(f.deadline))
	r.timers.moveUp(f.deadlineTimer, r.shutdownPlan.AnswerBy)
	if f.inFlight != nil {
		r.timers.moveUp(f.inFlight.timeoutTimer, r.shutdownPlan.GiveUpBy)
	}
}
