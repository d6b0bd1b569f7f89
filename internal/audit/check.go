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

// Rules are the figures against which records are checked. Slack is what the sockets and a busy machine
// may add to any of them.
type Rules struct {
	AnswerGrace      time.Duration // rule 1
	DrainGrace       time.Duration // rule 3: after the list was read
	ListInterval     time.Duration // rule 3: how long until a router reads a list that was written
	OverloadMultiple float64       // rule 4
	OverloadWindow   time.Duration
	HoldTimeout      time.Duration            // rule 5
	DedupWindows     map[string]time.Duration // rule 2: of keyed classes
	FailoverTime     time.Duration            // how long a front layer goes on sending to a dead router
	Slack            time.Duration
}

// Finding is one breach of a rule.
type Finding struct {
	Rule int
	At   int64
	Text string
}

// RuleTitles name the five rules.
var RuleTitles = [6]string{1: "one final answer in time", 2: "no effect twice, one attempt out", 3: "drains kept",
	4: "no cold engine pushed over", 5: "nothing left pinned"}

// Report is what the records show.
type Report struct {
	Findings []Finding
	Checked  [6]int // by rule: how many things it was checked on
	Records  int
	Dropped  int // records that did not fit: the verdict is void

	Tries, Requests                                   int
	Served, Refused, Failed, Interrupted, ClientsLeft int // by tries
	ConnectionsLost                                   int // connections that broke while a router was down
	Attempts                                          int // at engines
	Service                                           float64
	Classes                                           map[string]*ClassReport
	FirstToken                                        []time.Duration // of tries that got one, sorted
	ExpiredStates                                     int             // states let go by their engine, the router being dead
	RejectedByReason                                  map[string]int  // attempts turned away or failed at the door, by reason
}

// ClassReport is the service of one class: worth in time over worth asked, a client's retries counted with
// its first try.
type ClassReport struct {
	Requests                    int
	EarnedValue, RequestedValue float64
}

// Passed tells whether all rules were kept, on records that are whole.
func (r *Report) Passed() bool { return len(r.Findings) == 0 && r.Dropped == 0 && r.Tries > 0 }

func (r *Report) find(rule int, at int64, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{rule, at, fmt.Sprintf(format, args...)})
}

// request is the part of an id that all tries of one request share.
func requestOf(try string) string {
	name, _, _ := strings.Cut(try, "/")
	return name
}

// checker holds the records by what they are about.
type checker struct {
	rules Rules
	rep   *Report
	end   int64
	down  []span // routers that were down
}

// span is a time at which a router was down.
type span struct {
	router   string
	from, to int64
}

// Check checks records against the rules. Records need not be in order.
func Check(records []Record, dropped int, rules Rules) *Report {
	rep := &Report{Records: len(records), Dropped: dropped, Classes: map[string]*ClassReport{}, RejectedByReason: map[string]int{}}
	sorted := slices.Clone(records)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	c := &checker{rules: rules, rep: rep}
	if len(sorted) > 0 {
		c.end = sorted[len(sorted)-1].At
	}
	c.routers(sorted)
	c.clients(sorted)
	c.attempts(sorted)
	c.drains(sorted)
	c.cold(sorted)
	c.pinned(sorted)
	sort.SliceStable(rep.Findings, func(i, j int) bool { return rep.Findings[i].At < rep.Findings[j].At })
	return rep
}

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

// downDuring tells whether a router, or any with "", was down at some time between two others. The front
// layer's lateness counts with it.
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
	asked    Record
	began    int64
	endings  []Record
	finished int64
}

// clients checks rule 1 and counts the service.
func (c *checker) clients(records []Record) {
	tries := map[string]*try{}
	var order []string
	for _, r := range records {
		if r.Kind == Asked {
			if tries[r.ID] != nil {
				c.rep.find(1, r.At, "try %s was asked twice: the records can't be trusted", r.ID)
				continue
			}
			tries[r.ID] = &try{asked: r}
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
			c.rep.find(1, r.At, "%s for try %s, which nobody asked", r.Kind, r.ID)
			continue
		}
		if r.Kind == FirstToken {
			t.began = r.At
		} else {
			t.endings = append(t.endings, r)
		}
	}
	best := map[string]float64{}
	for _, id := range order {
		t := tries[id]
		c.rep.Tries++
		c.rep.Checked[1]++
		c.ending(id, t)
		c.count(id, t, best)
	}
	c.rep.Requests = len(best)
	total, asked := 0.0, 0.0
	for _, cl := range c.rep.Classes {
		total, asked = total+cl.EarnedValue, asked+cl.RequestedValue
	}
	if asked > 0 {
		c.rep.Service = total / asked
	}
	slices.Sort(c.rep.FirstToken)
}

func (c *checker) ending(id string, t *try) {
	if len(t.endings) == 0 {
		c.rep.find(1, t.asked.At, "try %s of class %s has no ending", id, t.asked.Class)
		return
	}
	if len(t.endings) > 1 {
		c.rep.find(1, t.endings[1].At, "try %s has %d endings", id, len(t.endings))
	}
	e := t.endings[0]
	switch e.Kind {
	case GaveUp:
		c.rep.ClientsLeft++
		return
	case ConnectionLost:
		c.rep.ConnectionsLost++
		if !c.downDuring("", t.asked.At, e.At) {
			c.rep.find(1, e.At, "try %s got no answer, and no router was down: %s", id, e.Note)
		}
		return
	}
	switch e.Note {
	case "served":
		c.rep.Served++
	case "refused":
		c.rep.Refused++
	case "failed":
		c.rep.Failed++
	case "broken":
		c.rep.Interrupted++
	default:
		c.rep.find(1, e.At, "try %s has the unknown answer %q", id, e.Note)
	}
	// A stream that has begun carries no deadline.
	late := e.At - t.asked.Deadline - int64(c.rules.AnswerGrace+c.rules.Slack)
	if t.began == 0 && late > 0 {
		c.rep.find(1, e.At, "try %s was answered (%s) %v after its deadline and grace", id, e.Note, time.Duration(late))
	}
	if t.began != 0 && t.began-t.asked.Deadline > int64(c.rules.AnswerGrace+c.rules.Slack) {
		c.rep.find(1, t.began, "try %s got its first token %v after its deadline", id, time.Duration(t.began-t.asked.Deadline))
	}
}

// count adds a try to the service: full worth for a first token within the aim, N, and a fifth part of it
// for one after. Work is the worth.
func (c *checker) count(id string, t *try, best map[string]float64) {
	cl := c.rep.Classes[t.asked.Class]
	if cl == nil {
		cl = &ClassReport{}
		c.rep.Classes[t.asked.Class] = cl
	}
	req := requestOf(id)
	was, seen := best[req]
	if !seen {
		cl.Requests++
		cl.RequestedValue += t.asked.Work
		best[req] = 0
	}
	if t.began != 0 {
		c.rep.FirstToken = append(c.rep.FirstToken, time.Duration(t.began-t.asked.At))
	}
	if len(t.endings) == 0 || t.endings[0].Note != "served" || t.began == 0 {
		return
	}
	const lateWorth = 0.2
	worth := t.asked.Work
	if t.began-t.asked.At > int64(t.asked.N) {
		worth *= lateWorth
	}
	if worth > was {
		cl.EarnedValue += worth - was
		best[req] = worth
	}
}

// out is an attempt's time at an engine.
type out struct {
	id, client, engine, stage string
	from, to                  int64
	known                     bool // its end was seen
}

// attempts checks rule 2.
func (c *checker) attempts(records []Record) {
	byRequest := map[string][]*out{}
	byID := map[string]*out{}
	var requests []string
	type effect struct {
		at     int64
		engine string
	}
	ran := map[string][]effect{}
	repeat := map[string]string{}
	class := map[string]string{}
	for _, r := range records {
		switch r.Kind {
		case Asked:
			repeat[requestOf(r.ID)], class[requestOf(r.ID)] = r.Repeat, r.Class
		case Arrived:
			c.rep.Attempts++
			req := r.ID[:max(strings.LastIndexByte(r.ID, '.'), 0)]
			if byRequest[req] == nil {
				requests = append(requests, req)
			}
			o := &out{id: r.ID, client: r.Client, engine: r.Who, stage: r.Stage, from: r.At, to: r.At}
			if byID[r.ID] != nil {
				c.rep.find(2, r.At, "attempt %s came in twice, at %s and %s", r.ID, byID[r.ID].engine, r.Who)
			}
			byID[r.ID] = o
			byRequest[req] = append(byRequest[req], o)
		case Rejected, Ended:
			if o := byID[r.ID]; o != nil {
				o.to, o.known = r.At, true
			}
			if r.Kind == Rejected {
				c.rep.RejectedByReason[r.Note]++
			}
		case Executed:
			if r.Client != "" {
				ran[requestOf(r.Client)] = append(ran[requestOf(r.Client)], effect{r.At, r.Who})
			}
		}
	}
	for _, req := range requests {
		c.rep.Checked[2]++
		list := byRequest[req]
		for i := 1; i < len(list); i++ {
			if before := list[i-1]; before.to-list[i].from > int64(c.rules.Slack) {
				c.rep.find(2, list[i].from, "attempts %s at %s and %s at %s were out together for %v", before.id, before.engine,
					list[i].id, list[i].engine, time.Duration(before.to-list[i].from))
			}
		}
	}
	names := make([]string, 0, len(ran))
	for name := range ran {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		runs := ran[name]
		switch repeat[name] {
		case "unsafe":
			if len(runs) > 1 {
				c.rep.find(2, runs[1].at, "request %s of the unsafe class %s ran %d times, at %s and %s", name, class[name],
					len(runs), runs[0].engine, runs[1].engine)
			}
		case "keyed":
			for _, run := range runs[1:] {
				if w := c.rules.DedupWindows[class[name]]; run.at-runs[0].at > int64(w+c.rules.Slack) {
					c.rep.find(2, run.at, "request %s of the keyed class %s ran again after its window", name, class[name])
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
					c.rep.Checked[3]++
				}
			}
		case Arrived, Reserved:
			if s := now[r.Who]; s != nil && !s.ready && r.At-s.since > grace {
				c.rep.find(3, r.At, "attempt %s came to %s %v after the list had told it draining or gone", r.ID, r.Who,
					time.Duration(r.At-s.since))
			}
		}
	}
}

// cold checks rule 4: no engine may fall, and what comes to a cold one within any window stays under the
// multiple of what it can do.
func (c *checker) cold(records []Record) {
	type engine struct {
		at       int64
		capacity float64
		from     float64 // part of its capacity at the start
		warm     int64   // when it is warm
		sends    []Record
		said     bool
	}
	now := map[string]*engine{}
	for _, r := range records {
		switch r.Kind {
		case Started:
			now[r.Who] = &engine{at: r.At, capacity: r.N, from: r.Work, warm: r.At + r.Deadline}
			c.rep.Checked[4]++
		case OverloadFailed:
			c.rep.find(4, r.At, "%s was pushed over", r.Who)
		case Arrived:
			e := now[r.Who]
			if e == nil || r.At >= e.warm || c.rules.OverloadMultiple == 0 {
				continue
			}
			e.sends = append(e.sends, r)
			for r.At-e.sends[0].At > int64(c.rules.OverloadWindow) {
				e.sends = e.sends[1:]
			}
			sum := 0.0
			for _, s := range e.sends {
				sum += s.Work
			}
			share := e.from + (1-e.from)*float64(r.At-e.at)/float64(e.warm-e.at)
			budget := c.rules.OverloadMultiple*share*e.capacity*c.rules.OverloadWindow.Seconds() + 2*r.Work
			if sum > budget && !e.said {
				e.said = true
				c.rep.find(4, r.At, "%s, cold, was sent %.0f in %v, its budget is %.0f", r.Who, sum, c.rules.OverloadWindow, budget)
			}
		}
	}
}

// pinned checks rule 5.
func (c *checker) pinned(records []Record) {
	type state struct {
		waits  int64 // since when nobody has claimed it; 0: claimed
		router string
	}
	held := map[string]*state{}
	limit := int64(c.rules.HoldTimeout + c.rules.Slack)
	check := func(key string, s *state, at int64) {
		if s.waits != 0 && at-s.waits > limit && !c.downDuring(s.router, s.waits, at) {
			c.rep.find(5, at, "the state of attempt %s was left for %v", key, time.Duration(at-s.waits))
		}
	}
	for _, r := range records {
		key := r.Who + " " + r.ID
		router, _, _ := strings.Cut(r.Router, "-")
		switch r.Kind {
		case Held:
			held[key] = &state{r.At, router}
			c.rep.Checked[5]++
		case Claimed, ClaimEnded, Renewed, Fetched, Released, Expired, Lost:
			s := held[key]
			if s == nil {
				continue
			}
			check(key, s, r.At)
			switch r.Kind {
			case Claimed:
				s.waits = 0
			case ClaimEnded, Renewed:
				s.waits = r.At
			case Expired:
				// The engine's own lease has let it go: that is for a router that is dead, not for one that forgets.
				c.rep.ExpiredStates++
				if !c.downDuring(router, s.waits, r.At) {
					c.rep.find(5, r.At, "the state of attempt %s at %s was let go by its engine alone", r.ID, r.Who)
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

// Print prints the report for people: the verdict, then the figures.
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
