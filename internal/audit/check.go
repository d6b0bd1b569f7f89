package audit

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Rules are the limits that records are checked against. Slack is a tolerance for what the sockets and a busy machine
// add to any of them.
type Rules struct {
	AnswerGrace      time.Duration // rule 1
	DrainGrace       time.Duration // rule 3: counted from when the list was read
	ListInterval     time.Duration // rule 3: time until a router reads a list that was written
	OverloadMultiple float64       // rule 4
	OverloadWindow   time.Duration
	HoldTimeout      time.Duration            // rule 5
	DedupWindows     map[string]time.Duration // rule 2: of classes with the retry policy keyed
	FailoverTime     time.Duration            // how long a front layer continues to send to a dead router
	Slack            time.Duration
}

// Finding is one violation of a rule.
type Finding struct {
	Rule int
	At   int64
	Text string
}

// RuleTitles are the names of the five rules.
var RuleTitles = [6]string{1: "one final answer in time", 2: "no effect twice, one attempt out", 3: "drains kept",
	4: "no cold engine pushed over", 5: "nothing left pinned"}

// Report is the result of a check.
type Report struct {
	Findings []Finding
	Checked  [6]int // by rule: the number of items checked
	Records  int
	Dropped  int // records that were dropped; if there are any, there is no verdict

	Tries, Requests                                   int
	Served, Refused, Failed, Interrupted, ClientsLeft int // counted in tries
	ConnectionsLost                                   int // connections that broke while a router was down
	Attempts                                          int // at engines
	Service                                           float64
	Classes                                           map[string]*ClassReport
	FirstToken                                        []time.Duration // of tries that got a first token, sorted
	// KV states released by their engine itself while the router was dead.
	ExpiredStates int
	// Attempts that engines rejected or failed before running them, by reason.
	RejectedByReason map[string]int
}

// ClassReport is the service of one class: the value delivered in time divided by the value requested. A client's
// retries count as one request with its first try.
type ClassReport struct {
	Requests                    int
	EarnedValue, RequestedValue float64
}

// Passed reports whether no rule was violated and the records are complete.
func (r *Report) Passed() bool { return len(r.Findings) == 0 && r.Dropped == 0 && r.Tries > 0 }

func (r *Report) addFinding(rule int, at int64, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{rule, at, fmt.Sprintf(format, args...)})
}

// requestOf returns the part of an ID that all tries of one request share.
func requestOf(try string) string {
	name, _, _ := strings.Cut(try, "/")
	return name
}

// checker holds the state of one check.
type checker struct {
	rules  Rules
	report *Report
	end    int64
	down   []span // the times at which routers were down
}

// span is a time during which a router was down.
type span struct {
	router   string
	from, to int64
}

// Check checks records against the rules. Records may be in any order.
func Check(records []Record, dropped int, rules Rules) *Report {
	report := &Report{Records: len(records), Dropped: dropped, Classes: map[string]*ClassReport{}, RejectedByReason: map[string]int{}}
	sorted := slices.Clone(records)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	c := &checker{rules: rules, report: report}
	if len(sorted) > 0 {
		c.end = sorted[len(sorted)-1].At
	}
	c.routers(sorted)
	c.clients(sorted)
	c.attempts(sorted)
	c.drains(sorted)
	c.cold(sorted)
	c.holds(sorted)
	sort.SliceStable(report.Findings, func(i, j int) bool { return report.Findings[i].At < report.Findings[j].At })
	return report
}

// routers collects the times at which routers were down.
func (c *checker) routers(records []Record) {
	open := map[string]int{}
	for _, r := range records {
		switch r.Kind {
		case RouterDown:
			open[r.Who] = len(c.down)
			c.down = append(c.down, span{r.Who, r.At, c.end})
		case RouterUp:
			if i, ok := open[r.Who]; ok {
				c.down[i].to = r.At
				delete(open, r.Who)
			}
		}
	}
}

// downDuring reports whether a router, or any router if it is "", was down at some time between from and to. The
// delay until the front layer notices is included.
func (c *checker) downDuring(router string, from, to int64) bool {
	late := int64(c.rules.FailoverTime + c.rules.Slack)
	for _, s := range c.down {
		if (router == "" || s.router == router) && s.from <= to+int64(c.rules.Slack) && max(s.to, s.from+late)+late >= from {
			return true
		}
	}
	return false
}

// try is what a client saw of one try.
type try struct {
	sent       Record
	firstToken int64
	endings    []Record
	finished   int64
}

// clients checks rule 1 and computes the service.
func (c *checker) clients(records []Record) {
	tries := map[string]*try{}
	var order []string
	for _, r := range records {
		if r.Kind == Asked {
			if tries[r.ID] != nil {
				c.report.addFinding(1, r.At, "two records say that try %s was sent: the records are unreliable", r.ID)
				continue
			}
			tries[r.ID] = &try{sent: r}
			order = append(order, r.ID)
			continue
		}
		switch r.Kind {
		case FirstToken, Answered, GaveUp, ConnectionLost:
		default:
			continue
		}
		t := tries[r.ID]
		if t == nil {
			c.report.addFinding(1, r.At, "%s for try %s, which no client sent", r.Kind, r.ID)
			continue
		}
		if r.Kind == FirstToken {
			t.firstToken = r.At
		} else {
			t.endings = append(t.endings, r)
		}
	}
	best := map[string]float64{}
	for _, id := range order {
		t := tries[id]
		c.report.Tries++
		c.report.Checked[1]++
		c.checkAnswer(id, t)
		c.count(id, t, best)
	}
	c.report.Requests = len(best)
	earned, requested := 0.0, 0.0
	for _, cl := range c.report.Classes {
		earned, requested = earned+cl.EarnedValue, requested+cl.RequestedValue
	}
	if requested > 0 {
		c.report.Service = earned / requested
	}
	slices.Sort(c.report.FirstToken)
}

// checkAnswer checks that a try has exactly one ending, in time, and counts it.
func (c *checker) checkAnswer(id string, t *try) {
	if len(t.endings) == 0 {
		c.report.addFinding(1, t.sent.At, "try %s of class %s has no ending", id, t.sent.Class)
		return
	}
	if len(t.endings) > 1 {
		c.report.addFinding(1, t.endings[1].At, "try %s has %d endings", id, len(t.endings))
	}
	e := t.endings[0]
	switch e.Kind {
	case GaveUp:
		c.report.ClientsLeft++
		return
	case ConnectionLost:
		c.report.ConnectionsLost++
		if !c.downDuring("", t.sent.At, e.At) {
			c.report.addFinding(1, e.At, "try %s got no answer, and no router was down at the time: %s", id, e.Note)
		}
		return
	}
	switch e.Note {
	case "served":
		c.report.Served++
	case "refused":
		c.report.Refused++
	case "failed":
		c.report.Failed++
	case "broken":
		c.report.Interrupted++
	default:
		c.report.addFinding(1, e.At, "try %s has the unknown answer %q", id, e.Note)
	}
	// The deadline does not apply to a stream that has begun.
	late := e.At - t.sent.Deadline - int64(c.rules.AnswerGrace+c.rules.Slack)
	if t.firstToken == 0 && late > 0 {
		c.report.addFinding(1, e.At, "try %s was answered (%s) %v after its deadline and grace", id, e.Note, time.Duration(late))
	}
	if t.firstToken != 0 && t.firstToken-t.sent.Deadline > int64(c.rules.AnswerGrace+c.rules.Slack) {
		c.report.addFinding(1, t.firstToken, "try %s got its first token %v after its deadline", id, time.Duration(t.firstToken-t.sent.Deadline))
	}
}

// count adds a try to the service: its full value for a first token within the target, and a fifth of it for a later
// one. The record's field N is the target and Work the value.
func (c *checker) count(id string, t *try, best map[string]float64) {
	class := c.report.Classes[t.sent.Class]
	if class == nil {
		class = &ClassReport{}
		c.report.Classes[t.sent.Class] = class
	}
	req := requestOf(id)
	counted, found := best[req]
	if !found {
		class.Requests++
		class.RequestedValue += t.sent.Work
		best[req] = 0
	}
	if t.firstToken != 0 {
		c.report.FirstToken = append(c.report.FirstToken, time.Duration(t.firstToken-t.sent.At))
	}
	if len(t.endings) == 0 || t.endings[0].Note != "served" || t.firstToken == 0 {
		return
	}
	const lateValue = 0.2
	value := t.sent.Work
	if t.firstToken-t.sent.At > int64(t.sent.N) {
		value *= lateValue
	}
	if value > counted {
		class.EarnedValue += value - counted
		best[req] = value
	}
}

// engineAttempt is the time that an attempt spent at an engine.
type engineAttempt struct {
	id, client, engine, stage string
	from, to                  int64
	known                     bool // a record of its end exists
}

// attempts checks rule 2.
func (c *checker) attempts(records []Record) {
	byRequest := map[string][]*engineAttempt{}
	byID := map[string]*engineAttempt{}
	var requests []string
	type effect struct {
		at     int64
		engine string
	}
	executions := map[string][]effect{}
	repeat := map[string]string{}
	class := map[string]string{}
	for _, r := range records {
		switch r.Kind {
		case Asked:
			repeat[requestOf(r.ID)], class[requestOf(r.ID)] = r.Repeat, r.Class
		case Arrived:
			c.report.Attempts++
			req := r.ID[:max(strings.LastIndexByte(r.ID, '.'), 0)]
			if byRequest[req] == nil {
				requests = append(requests, req)
			}
			o := &engineAttempt{id: r.ID, client: r.Client, engine: r.Who, stage: r.Stage, from: r.At, to: r.At}
			if byID[r.ID] != nil {
				c.report.addFinding(2, r.At, "attempt %s arrived twice, at %s and %s", r.ID, byID[r.ID].engine, r.Who)
			}
			byID[r.ID] = o
			byRequest[req] = append(byRequest[req], o)
		case Rejected, Ended:
			if o := byID[r.ID]; o != nil {
				o.to, o.known = r.At, true
			}
			if r.Kind == Rejected {
				c.report.RejectedByReason[r.Note]++
			}
		case Executed:
			if r.Client != "" {
				executions[requestOf(r.Client)] = append(executions[requestOf(r.Client)], effect{r.At, r.Who})
			}
		}
	}
	for _, req := range requests {
		c.report.Checked[2]++
		list := byRequest[req]
		for i := 1; i < len(list); i++ {
			if before := list[i-1]; before.to-list[i].from > int64(c.rules.Slack) {
				c.report.addFinding(2, list[i].from, "attempts %s at %s and %s at %s were in flight together for %v", before.id, before.engine,
					list[i].id, list[i].engine, time.Duration(before.to-list[i].from))
			}
		}
	}
	names := make([]string, 0, len(executions))
	for name := range executions {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		runs := executions[name]
		switch repeat[name] {
		case "unsafe":
			if len(runs) > 1 {
				c.report.addFinding(2, runs[1].at, "request %s of the unsafe class %s ran %d times, at %s and %s", name, class[name],
					len(runs), runs[0].engine, runs[1].engine)
			}
		case "keyed":
			for _, run := range runs[1:] {
				if w := c.rules.DedupWindows[class[name]]; run.at-runs[0].at > int64(w+c.rules.Slack) {
					c.report.addFinding(2, run.at, "request %s of the keyed class %s ran again after its deduplication window", name, class[name])
				}
			}
		}
	}
}

// drains checks rule 3.
func (c *checker) drains(records []Record) {
	type state struct {
		ready bool
		since int64
	}
	now := map[string]*state{}
	grace := int64(c.rules.DrainGrace + c.rules.ListInterval + c.rules.Slack)
	for _, r := range records {
		switch r.Kind {
		case Listed:
			s := now[r.Who]
			ready := r.Note == "ready"
			if s == nil || s.ready != ready {
				now[r.Who] = &state{ready, r.At}
				if !ready {
					c.report.Checked[3]++
				}
			}
		case Arrived, Reserved:
			if s := now[r.Who]; s != nil && !s.ready && r.At-s.since > grace {
				c.report.addFinding(3, r.At, "attempt %s arrived at %s %v after the list showed it as draining or removed", r.ID, r.Who,
					time.Duration(r.At-s.since))
			}
		}
	}
}

// cold checks rule 4: no engine fails under overload, and the work sent to a cold engine within any overload window
// stays below the given multiple of its capacity.
func (c *checker) cold(records []Record) {
	type engine struct {
		at       int64
		capacity float64
		from     float64 // initial part of its capacity
		warm     int64   // time at which it is warm
		attempts []Record
		reported bool
	}
	now := map[string]*engine{}
	for _, r := range records {
		switch r.Kind {
		case Started:
			now[r.Who] = &engine{at: r.At, capacity: r.N, from: r.Work, warm: r.At + r.Deadline}
			c.report.Checked[4]++
		case OverloadFailed:
			c.report.addFinding(4, r.At, "%s failed under overload", r.Who)
		case Arrived:
			e := now[r.Who]
			if e == nil || r.At >= e.warm || c.rules.OverloadMultiple == 0 {
				continue
			}
			e.attempts = append(e.attempts, r)
			for r.At-e.attempts[0].At > int64(c.rules.OverloadWindow) {
				e.attempts = e.attempts[1:]
			}
			sum := 0.0
			for _, s := range e.attempts {
				sum += s.Work
			}
			share := e.from + (1-e.from)*float64(r.At-e.at)/float64(e.warm-e.at)
			budget := c.rules.OverloadMultiple*share*e.capacity*c.rules.OverloadWindow.Seconds() + 2*r.Work
			if sum > budget && !e.reported {
				e.reported = true
				c.report.addFinding(4, r.At, "cold engine %s was sent %.0f units of work in %v, more than its slow-start budget of %.0f", r.Who, sum, c.rules.OverloadWindow, budget)
			}
		}
	}
}

// holds checks rule 5.
func (c *checker) holds(records []Record) {
	type state struct {
		unclaimedSince int64 // time since which it is unclaimed; 0 while it is claimed
		router         string
	}
	held := map[string]*state{}
	limit := int64(c.rules.HoldTimeout + c.rules.Slack)
	check := func(key string, s *state, at int64) {
		if s.unclaimedSince != 0 && at-s.unclaimedSince > limit && !c.downDuring(s.router, s.unclaimedSince, at) {
			c.report.addFinding(5, at, "the state of attempt %s was not released for %v", key, time.Duration(at-s.unclaimedSince))
		}
	}
	for _, r := range records {
		key := r.Who + " " + r.ID
		router, _, _ := strings.Cut(r.Router, "-")
		switch r.Kind {
		case Held:
			held[key] = &state{r.At, router}
			c.report.Checked[5]++
		case Claimed, ClaimEnded, Renewed, Fetched, Released, Expired, Lost:
			s := held[key]
			if s == nil {
				continue
			}
			check(key, s, r.At)
			switch r.Kind {
			case Claimed:
				s.unclaimedSince = 0
			case ClaimEnded, Renewed:
				s.unclaimedSince = r.At
			case Expired:
				// The engine's own timeout is meant for routers that have died, not for routers that forget to
				// release.
				c.report.ExpiredStates++
				if !c.downDuring(router, s.unclaimedSince, r.At) {
					c.report.addFinding(5, r.At, "the state of attempt %s at %s was released by the engine itself, and its router was not down", r.ID, r.Who)
				}
				delete(held, key)
			default:
				delete(held, key)
			}
		}
	}
	for key, s := range held {
		check(key, s, c.end)
	}
}

// Print prints the report for operators: the verdict, then the figures.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for rule := 1; rule <= 5; rule++ {
		broken := 0
		for _, f := range r.Findings {
			if f.Rule == rule {
				broken++
			}
		}
		verdict := "kept"
		if broken > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", broken)
		}
		fmt.Fprintf(t, "rule %d\t%s\t%s\t(checked on %d)\n", rule, RuleTitles[rule], verdict, r.Checked[rule])
	}
	t.Flush()
	const shown = 20
	for i, f := range r.Findings {
		if i == shown {
			fmt.Fprintf(w, "  ... and %d more\n", len(r.Findings)-shown)
			break
		}
		fmt.Fprintf(w, "  rule %d at %s: %s\n", f.Rule, time.Unix(0, f.At).Format("15:04:05.000"), f.Text)
	}
	fmt.Fprintf(w, "%d records, %d requests, %d tries: %d served, %d refused, %d failed, %d broken, %d gone, %d cut off with a router\n",
		r.Records, r.Requests, r.Tries, r.Served, r.Refused, r.Failed, r.Interrupted, r.ClientsLeft, r.ConnectionsLost)
	fmt.Fprintf(w, "service %.3f, %.2f attempts a try, %d states let go by engines after a router's death\n", r.Service,
		float64(r.Attempts)/max(float64(r.Tries), 1), r.ExpiredStates)
	names := make([]string, 0, len(r.Classes))
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		cl := r.Classes[name]
		fmt.Fprintf(w, "  class %s: %d requests, service %.3f\n", name, cl.Requests, cl.EarnedValue/max(cl.RequestedValue, 1e-9))
	}
	if n := len(r.FirstToken); n > 0 {
		fmt.Fprintf(w, "first token: p50 %v, p99 %v\n", r.FirstToken[n/2].Round(time.Millisecond),
			r.FirstToken[n*99/100].Round(time.Millisecond))
	}
	switch {
	case r.Dropped > 0:
		_, err := fmt.Fprintf(w, "no verdict: %d records did not fit\n", r.Dropped)
		return err
	case r.Tries == 0:
		_, err := fmt.Fprintln(w, "no verdict: nothing was asked")
		return err
	case len(r.Findings) > 0:
		_, err := fmt.Fprintln(w, "RULES BROKEN")
		return err
	}
	_, err := fmt.Fprintln(w, "all five rules kept")
	return err
}
