package router

import (
	"time"

	"mintdoor/decide"
	"mintdoor/internal/engine"
)

// Shutdown is the router's shutdown plan: decide.Shutdown in wall-clock time.
type Shutdown struct {
	AcceptUntil time.Time
	ListenUntil time.Time
	GiveUpBy    time.Time
	LingerFor   time.Duration
}

// ShutDown tells the router that the process received the termination signal at the given time. Requests are accepted
// for as long as the returned plan allows, and open requests continue. Drain ends the router afterwards.
func (r *Router) ShutDown(signalledAt time.Time) Shutdown {
	plan := decide.PlanShutdown(r.moduleTime(signalledAt), r.cfg.Settings.Classes)
	r.post(message{kind: shuttingDown, plan: &plan})
	return Shutdown{AcceptUntil: r.wallTime(plan.AcceptUntil), ListenUntil: r.wallTime(plan.ListenUntil), GiveUpBy: r.wallTime(plan.GiveUpBy),
		LingerFor: time.Duration(plan.LingerFor)}
}

// shutDown applies the plan to all open requests and tells the module.
func (r *Router) shutDown(plan *decide.Shutdown) {
	if r.shutdownPlan != nil {
		return
	}
	r.shutdownPlan = plan
	for _, row := range r.table.rows {
		r.limitToShutdown(row)
	}
	r.notifyModule(&decide.Event{Kind: decide.ShuttingDown, Shutdown: plan, Report: engine.NoReport()})
}

// limitToShutdown makes sure that a request is answered within the time that the plan leaves. A stream that has
// started continues.
func (r *Router) limitToShutdown(row *requestRow) {
	if r.shutdownPlan == nil || row.inFlight != nil && row.inFlight.streaming {
		return
	}
	row.deadline = min(row.deadline, r.shutdownPlan.GiveUpBy)
	row.guard().LimitDeadline(r.wallTime(row.deadline))
	r.timers.moveUp(row.deadlineTimer, r.shutdownPlan.AnswerBy)
	if row.inFlight != nil {
		r.timers.moveUp(row.inFlight.timeoutTimer, r.shutdownPlan.GiveUpBy)
	}
}
