package kit2

import "time"

// The limit of the rule on drains: the grace of the settings and 50 ms. The check leaves 100 ms more, as a request's
// arrival is seen and not its first byte.
const (
	DrainGrace = 1050 * time.Millisecond
	drainSlack = 100 * time.Millisecond
)

// Small is a small deployment: four readers, six writers, two routers with an agent each.
type Small struct {
	Fleet   *Fleet
	Members []Member
	Agents  [2]*Agent
	Routers [2]*Router
}

// NewSmall starts workers and agents of a small deployment, and prepares its routers. Every request is served.
func (c *Case) NewSmall() *Small {
	return c.NewSmallWith(func(a *Arrival) Plan {
		if !a.Writer {
			return Plan{Delay: 30 * time.Millisecond}
		}
		return Plan{Delay: 60 * time.Millisecond, Events: 10, Interval: 60 * time.Millisecond}
	})
}

// NewSmallWith does the same with workers that do what plan says.
func (c *Case) NewSmallWith(plan func(*Arrival) Plan) *Small {
	s := &Small{Fleet: c.NewFleet(plan)}
	s.Members = append(s.Fleet.NewWorkers(4, "prefill", false), s.Fleet.NewWorkers(6, "decode-a", true)...)
	for i, name := range []string{"n1", "n2"} {
		s.Agents[i] = c.NewAgent("agent of "+name, 41, s.Members...)
		s.Routers[i] = c.NewRouter(name, SmallSettings(2, i), s.Agents[i])
	}
	return s
}

// Start starts the routers and waits until they are ready.
func (s *Small) Start() {
	for _, r := range s.Routers {
		r.Start()
	}
	for _, r := range s.Routers {
		r.AwaitReady()
	}
}

// Quarter returns a quarter of the workers, as they are listed when they drain.
func (s *Small) Quarter() []Member {
	out := []Member{s.Members[0], s.Members[4], s.Members[5]}
	for i := range out {
		out[i].Phase = "draining"
	}
	return out
}

// CheckDrains notes what has arrived at a draining worker later than its router was told of that and the grace allow.
// Only one router may have sent. It returns the requests.
func (c *Case) CheckDrains(f *Fleet, drained []Member, told func(id string) time.Time) (late map[string]bool) {
	late = map[string]bool{}
	n, last, worker := 0, time.Duration(0), ""
	for _, m := range drained {
		at := told(m.ID)
		for _, a := range f.SentTo(m.ID, at.Add(DrainGrace+drainSlack), time.Now()) {
			n++
			late[a.ID] = true
			c.NoteAt(a.At, "%s arrived at %s %.3f s after its drain was told", a.ID, m.ID, a.At.Sub(at).Seconds())
			if d := a.At.Sub(at); d > last {
				last, worker = d, m.ID
			}
		}
	}
	if n > 0 {
		c.Break("%d requests were sent to draining workers after the grace of %v; the last to %s, %.3f s after its drain was told",
			n, DrainGrace, worker, last.Seconds())
	}
	return late
}
