// Package engine is the project's stand-in for a model engine: it speaks the engines' protocol on real
// sockets, reads and writes at the pace of a simple model, and fails on command. It is written from
// docs/engine-protocol.md and the public KServe V2 specification.
package engine

import (
	"container/list"
	"errors"
	"math"
	"time"

	"mintdoor/decide"
)

// Spec is what a stand-in can do. The figures are assumptions, of the order that the users' letters give.
type Spec struct {
	Role                decide.Role
	MaxRunning          int           // sequences that run at once
	MaxQueued           int           // that wait beyond
	MemoryTokens        int           // tokens
	BlockTokens         int           // tokens of a block of memory
	ReadTokensPerSecond float64       // prompt tokens read a second
	ChunkTokens         int           // prompt tokens read in a step at most
	StepTime            time.Duration // of a step with nothing in it
	StepTimePerWriter   time.Duration // and for each sequence that writes
	MaxContextTokens    int           // tokens of prompt and answer that fit

	InitialCapacity  float64 // part of its capacity at the start
	SlowStartTime    time.Duration
	OverloadMultiple float64 // 0: it never falls
	OverloadWindow   time.Duration
	MeanAnswerTokens float64 // tokens; the work of a send to a writer
	MeanPromptTokens float64 // tokens; the work of a send to a reader

	PortTokensPerSecond float64 // tokens of state a second that move to an engine of the same cell
	StateBytesPerToken  int     // bytes of state a token
	ReportInterval      time.Duration
	ReportDelay         time.Duration
}

// Prefill and Decode are the specs of the demonstration.
func Prefill() Spec {
	return Spec{Role: decide.Reader, MaxRunning: 8, MaxQueued: 40, MemoryTokens: 240000, BlockTokens: 16, ReadTokensPerSecond: 18000, ChunkTokens: 2048,
		StepTime: 2 * time.Millisecond, MaxContextTokens: 32000, InitialCapacity: 0.3, SlowStartTime: 10 * time.Second, OverloadMultiple: 4,
		OverloadWindow: 2 * time.Second, MeanPromptTokens: 2000, MeanAnswerTokens: 120, PortTokensPerSecond: 250000, StateBytesPerToken: 64,
		ReportInterval: 300 * time.Millisecond, ReportDelay: 100 * time.Millisecond}
}

// Decode returns the spec of an engine that writes.
func Decode() Spec {
	s := Prefill()
	s.Role, s.MaxRunning, s.MaxQueued, s.MemoryTokens, s.ReadTokensPerSecond, s.ChunkTokens = decide.Writer, 90, 30, 160000, 7500, 512
	s.StepTime, s.StepTimePerWriter = 12*time.Millisecond, 150*time.Microsecond
	return s
}

// capacity is the work a second that the engine can do when warm: tokens read, or tokens written.
func (s *Spec) capacity() float64 {
	if s.Role == decide.Reader {
		return s.ReadTokensPerSecond
	}
	step := s.StepTime + time.Duration(s.MaxRunning)*s.StepTimePerWriter
	return float64(s.MaxRunning) / step.Seconds()
}

func (s *Spec) meanWork() float64 {
	if s.Role == decide.Reader {
		return s.MeanPromptTokens
	}
	return s.MeanAnswerTokens
}

var errFull = errors.New("slots and queue are full")

// seq is one request in the model.
type seq struct {
	prompt, shared int
	session, text  string
	answer         int // tokens that it will write; 0 for a read
	wantsState     bool

	fresh    int // prompt tokens still to read
	kept     int
	written  int
	blocks   int
	running  bool // has a slot
	fetching bool // waits for its state
	gone     bool
	granted  chan struct{} // closed when it has a slot and memory
	events   chan event    // tokens and the end; bounded by the answer's length
	hooks    *hooks        // in simulated time, in place of the channels
}

// hooks are called from within the model; they may not call it back.
type hooks struct {
	granted func()
	event   func(event)
}

func (s *seq) emit(e event) {
	if s.hooks != nil {
		s.hooks.event(e)
		return
	}
	s.events <- e
}

// grant tells, once, that the sequence has a slot and memory.
func (s *seq) grant() {
	if s.hooks != nil {
		if s.hooks.granted != nil {
			s.hooks.granted()
			s.hooks.granted = nil
		}
		return
	}
	select {
	case <-s.granted: // it was granted before it was put back
	default:
		close(s.granted)
	}
}

// event is what a step brings for a sequence.
type event struct {
	token int  // number of the token, from 1
	last  bool // nothing follows
}

// model is the engine without its sockets: slots, queue, memory in blocks, kept prefixes and steps. It
// knows no clock of its own, and is not safe for concurrent use.
type model struct {
	spec    Spec
	started time.Time
	slow    float64 // factor on every step

	queue   []*seq
	running []*seq
	used    int // blocks of sequences and of waiting states
	cache   map[string]*list.Element
	lru     *list.List // of cached, the latest first
	cached  int        // blocks of them

	sends  []send // to a cold engine, within the window
	fallen bool
	waits  float64 // recent time to the end of a read or the first token, ms
}

type cachedText struct {
	key    string
	tokens int
}

type send struct {
	at   time.Time
	work float64
}

func newModel(spec Spec, now time.Time, cold bool) *model {
	m := &model{spec: spec, started: now, slow: 1, cache: map[string]*list.Element{}, lru: list.New()}
	if !cold {
		m.started = now.Add(-spec.SlowStartTime)
	}
	return m
}

// share is the part of its capacity that the engine has at a time.
func (m *model) share(now time.Time) float64 {
	age := now.Sub(m.started)
	if age >= m.spec.SlowStartTime {
		return 1
	}
	return m.spec.InitialCapacity + (1-m.spec.InitialCapacity)*float64(age)/float64(m.spec.SlowStartTime)
}

func (m *model) blocksOf(tokens int) int {
	return (tokens + m.spec.BlockTokens - 1) / m.spec.BlockTokens
}

func (m *model) total() int { return m.spec.MemoryTokens / m.spec.BlockTokens }

// weigh counts a send against the budget of a cold engine; it may fall by it.
func (m *model) weigh(now time.Time) {
	if m.spec.OverloadMultiple == 0 || now.Sub(m.started) >= m.spec.SlowStartTime {
		return
	}
	m.sends = append(m.sends, send{now, m.spec.meanWork()})
	for len(m.sends) > 0 && now.Sub(m.sends[0].at) > m.spec.OverloadWindow {
		m.sends = m.sends[1:]
	}
	sum := 0.0
	for _, s := range m.sends {
		sum += s.work
	}
	const slack = 2 // sends, for chance
	budget := m.spec.OverloadMultiple * m.share(now) * m.spec.capacity() * m.spec.OverloadWindow.Seconds()
	if sum > budget+slack*m.spec.meanWork() {
		m.fallen = true
	}
}

// admit takes a sequence into the queue, or turns it away.
func (m *model) admit(s *seq) error {
	if len(m.running)+len(m.queue) >= m.spec.MaxRunning+m.spec.MaxQueued {
		return errFull
	}
	if s.hooks == nil {
		s.granted = make(chan struct{})
		s.events = make(chan event, s.answer+1)
	}
	m.queue = append(m.queue, s)
	m.schedule()
	return nil
}

// schedule gives slots and memory to those that wait, first come first.
func (m *model) schedule() {
	for len(m.queue) > 0 && len(m.running) < m.spec.MaxRunning {
		s := m.queue[0]
		need := m.blocksOf(s.prompt + s.written + 1)
		if !m.room(need) {
			return
		}
		m.queue = m.queue[1:]
		m.used += need
		s.blocks, s.running = need, true
		m.running = append(m.running, s)
		switch {
		case s.written > 0: // put back for want of memory: all is read anew
			s.fresh, s.fetching = s.prompt+s.written, false
		case s.wantsState:
			s.fetching = true
		default:
			s.kept = m.keptOf(s)
			s.fresh = max(s.prompt-s.kept, 1)
		}
		s.grant()
	}
}

// room makes room for blocks by dropping kept texts, the longest unused first.
func (m *model) room(need int) bool {
	if m.used+need > m.total() {
		return false
	}
	for m.used+m.cached+need > m.total() {
		m.drop(m.lru.Back())
	}
	return true
}

func (m *model) drop(e *list.Element) {
	c := m.lru.Remove(e).(*cachedText)
	delete(m.cache, c.key)
	m.cached -= m.blocksOf(c.tokens)
}

// keep remembers a text as far as there is memory.
func (m *model) keep(key string, tokens int) {
	if key == "" || tokens <= 0 {
		return
	}
	if e := m.cache[key]; e != nil {
		m.drop(e)
	}
	if need := m.blocksOf(tokens); m.room(need) {
		m.cache[key] = m.lru.PushFront(&cachedText{key, tokens})
		m.cached += need
	}
}

func (m *model) keptOf(s *seq) int {
	kept := 0
	for _, key := range []string{"s " + s.session, "t " + s.text} {
		if e := m.cache[key]; e != nil && len(key) > 2 {
			m.lru.MoveToFront(e)
			tokens := e.Value.(*cachedText).tokens
			if key[0] == 't' {
				tokens = min(tokens, s.shared)
			}
			kept = max(kept, min(tokens, s.prompt))
		}
	}
	return kept
}

// fetched tells that a sequence's state has come: it writes from the next step on.
func (m *model) fetched(s *seq) { s.fetching = false }

// leave takes a sequence out, wherever it is.
func (m *model) leave(s *seq) {
	if s.gone {
		return
	}
	s.gone = true
	m.queue = without(m.queue, s)
	m.running = without(m.running, s)
	m.used -= s.blocks
	s.blocks = 0
	m.schedule()
}

func without(list []*seq, s *seq) []*seq {
	for i, v := range list {
		if v == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// free gives blocks of a state back.
func (m *model) free(blocks int) {
	m.used -= blocks
	m.schedule()
}

// busy tells whether a step has anything to do.
func (m *model) busy() bool {
	for _, s := range m.running {
		if !s.fetching {
			return true
		}
	}
	return false
}

// step returns how long the next step takes and what it reads, by sequence.
func (m *model) step(now time.Time) (time.Duration, []int) {
	reads := make([]int, len(m.running))
	left, writers := m.spec.ChunkTokens, 0
	read := 0
	for i, s := range m.running {
		if s.fetching {
			continue
		}
		if s.fresh > 0 {
			n := min(s.fresh, left)
			reads[i], left, read = n, left-n, read+n
			continue
		}
		writers++
	}
	d := float64(m.spec.StepTime) + float64(m.spec.StepTimePerWriter)*float64(writers) + float64(read)/m.spec.ReadTokensPerSecond*1e9
	return time.Duration(d * m.slow / m.share(now)), reads
}

// finish applies a step that step has planned; those that joined since have no part in it.
func (m *model) finish(planned []*seq, reads []int) {
	for i, s := range planned {
		if s.gone || s.fetching || !s.running {
			continue
		}
		if s.fresh > 0 {
			s.fresh -= reads[i]
			if s.fresh > 0 {
				continue
			}
			m.keep("s "+s.session, s.prompt)
			m.keep("t "+s.text, s.shared)
			if s.answer == 0 {
				s.running = false
				m.running = without(m.running, s) // its blocks stay with the state
				s.emit(event{last: true})
			}
			continue
		}
		m.write(s)
	}
	m.schedule()
}

// write makes one token of a sequence; without memory for it the newest sequence is put back.
func (m *model) write(s *seq) {
	if need := m.blocksOf(s.prompt + s.written + 1); need > s.blocks {
		for !m.room(need - s.blocks) {
			newest := m.running[len(m.running)-1]
			m.putBack(newest)
			if newest == s {
				return
			}
		}
		m.used += need - s.blocks
		s.blocks = need
	}
	s.written++
	s.emit(event{token: s.written, last: s.written >= s.answer})
	if s.written >= s.answer {
		m.leave(s)
	}
}

func (m *model) putBack(s *seq) {
	m.running = without(m.running, s)
	m.used -= s.blocks
	s.blocks, s.running = 0, false
	m.queue = append([]*seq{s}, m.queue...)
}

// load is the engine's account of itself.
func (m *model) load() (share, waiting, latency float64) {
	for _, s := range m.queue {
		waiting += float64(s.prompt)
	}
	for _, s := range m.running {
		if s.fetching {
			waiting += float64(s.prompt)
		} else {
			waiting += float64(s.fresh)
		}
	}
	return math.Min(float64(m.used)/float64(max(m.total(), 1)), 1), waiting, m.waits
}

func (m *model) waited(d time.Duration) {
	const gain = 0.1
	m.waits += gain * (float64(d)/1e6 - m.waits)
}

// SpeedUp makes everything that the engine does so many times faster.
func (s *Spec) SpeedUp(times float64) {
	scale := func(d *time.Duration) { *d = time.Duration(float64(*d) / times) }
	for _, d := range []*time.Duration{&s.StepTime, &s.StepTimePerWriter, &s.SlowStartTime, &s.OverloadWindow, &s.ReportInterval, &s.ReportDelay} {
		scale(d)
	}
	s.ReadTokensPerSecond *= times
	s.PortTokensPerSecond *= times
}
