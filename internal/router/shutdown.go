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
	plan := decide.PlanShutdown(r.at(taken), r.cfg.Settings.Classes)
	r.post(message{kind: shuttingDown, plan: &plan})
	return Shutdown{AcceptUntil: r.wall(plan.AcceptUntil), ListenUntil: r.wall(plan.ListenUntil), GiveUpBy: r.wall(plan.GiveUpBy),
		LingerFor: time.Duration(plan.LingerFor)}
}

// shutDown bounds all that is open by the plan, and tells the module.
func (r *Router) shutDown(plan *decide.Shutdown) {
	if r.shutdown != nil {
		return
	}
	r.shutdown = plan
	for _, f := range r.table.rows {
		r.boundByShutdown(f)
	}
	r.tell(&decide.Event{Kind: decide.ShuttingDown, Shutdown: plan, Report: engine.NoReport()})
}

// boundByShutdown has a request answered by the time that the plan leaves to it. A stream that has begun runs on.
func (r *Router) boundByShutdown(f *flight) {
	if r.shutdown == nil || f.out != nil && f.out.streaming {
		return
	}
	f.deadline = min(f.deadline, r.shutdown.GiveUpBy)
	f.guarded().LimitDeadline(r.wall(f.deadline))
	r.timers.sooner(f.guard, r.shutdown.AnswerBy)
	if f.out != nil {
		r.timers.sooner(f.out.limit, r.shutdown.GiveUpBy)
	}
}
