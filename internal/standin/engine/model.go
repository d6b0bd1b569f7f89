// Package engine is a stand-in for a model engine: it speaks the engine protocol on real sockets, reads prompts and
// writes answers as fast as a simple timing model says, and injects faults on request. It runs no language model. It
// is written from docs/engine-protocol.md and the public KServe V2 specification.
package engine

import (
	"container/list"
	"errors"
	"math"
	"time"

	"mintdoor/decide"
)

// Spec describes what a stand-in engine can do. The default figures are assumptions, with the order of magnitude that
// the users have reported.
type Spec struct {
	Role                decide.Role
	MaxRunning          int           // sequences that run at once
	MaxQueued           int           // sequences that wait beyond those that run
	MemoryTokens        int           // size of the KV cache in tokens
	BlockTokens         int           // tokens of one memory block
	ReadTokensPerSecond float64       // prompt tokens read per second
	ChunkTokens         int           // maximum prompt tokens read in one step
	StepTime            time.Duration // base duration of a step
	StepTimePerWriter   time.Duration // added to a step for each sequence that writes
	MaxContextTokens    int           // maximum tokens of prompt and answer together

	InitialCapacity  float64       // fraction of the capacity at a cold start
	SlowStartTime    time.Duration // time from a cold start until the engine is warm
	OverloadMultiple float64       // a cold engine fails at this multiple of its capacity; 0: it never fails
	OverloadWindow   time.Duration // window over which sends to a cold engine are summed
	MeanAnswerTokens float64       // tokens; the work of one send to a writer
	MeanPromptTokens float64       // tokens; the work of one send to a reader

	PortTokensPerSecond float64       // tokens of KV state per second sent to an engine of the same cell
	StateBytesPerToken  int           // bytes of KV state per token
	ReportInterval      time.Duration // time between two load samples
	ReportDelay         time.Duration // age of the load sample that is reported
}

// Prefill returns the spec of an engine that reads. Prefill and Decode are the specs of the demonstration.
func Prefill() Spec {
	return Spec{Role: decide.Reader, MaxRunning: 8, MaxQueued: 40, MemoryTokens: 240000, BlockTokens: 16,
		ReadTokensPerSecond: 18000, ChunkTokens: 2048, StepTime: 2 * time.Millisecond, MaxContextTokens: 32000,
		InitialCapacity: 0.3, SlowStartTime: 10 * time.Second, OverloadMultiple: 4, OverloadWindow: 2 * time.Second,
		MeanPromptTokens: 2000, MeanAnswerTokens: 120, PortTokensPerSecond: 250000, StateBytesPerToken: 64,
		ReportInterval: 300 * time.Millisecond, ReportDelay: 100 * time.Millisecond}
}

// Decode returns the spec of an engine that writes.
func Decode() Spec {
	s := Prefill()
	s.Role, s.MaxRunning, s.MaxQueued, s.MemoryTokens, s.ReadTokensPerSecond, s.ChunkTokens =
		decide.Writer, 90, 30, 160000, 7500, 512
	s.StepTime, s.StepTimePerWriter = 12*time.Millisecond, 150*time.Microsecond
	return s
}

// capacity returns the work per second of a warm engine: prompt tokens read for a reader, otherwise tokens written
// with all slots in use.
func (s *Spec) capacity() float64 {
	if s.Role == decide.Reader {
		return s.ReadTokensPerSecond
	}
	step := s.StepTime + time.Duration(s.MaxRunning)*s.StepTimePerWriter
	return float64(s.MaxRunning) / step.Seconds()
}

// meanWork returns the mean work of one send to this engine, in tokens.
func (s *Spec) meanWork() float64 {
	if s.Role == decide.Reader {
		return s.MeanPromptTokens
	}
	return s.MeanAnswerTokens
}

// errFull refuses a sequence. Its text is part of the answer to the router.
var errFull = errors.New("slots and queue are full")

// seq is one request (sequence) in the model.
type seq struct {
	promptTokens, sharedTokens int
	sessionID, prefixID        string
	answerTokens               int  // tokens to write; 0 for a read
	needsState                 bool // waits for its KV state before it writes

	uncached int           // prompt tokens still to read
	cached   int           // prompt tokens found in the prefix cache
	written  int           // tokens written so far
	blocks   int           // memory blocks in use
	running  bool          // has a slot
	fetching bool          // waits for its KV state
	removed  bool          // has left the model
	admitted chan struct{} // closed when the sequence has a slot and memory
	events   chan event    // tokens and the end; the capacity is bounded by the answer's length
	hooks    *hooks        // replace the channels in simulated time
}

// hooks are called from within the model. They must not call the model back.
type hooks struct {
	admitted func()
	event    func(event)
}

// emit delivers an event to the sequence's hook or channel.
func (s *seq) emit(e event) {
	if s.hooks != nil {
		s.hooks.event(e)
		return
	}
	s.events <- e
}

// markAdmitted signals, at most once, that the sequence has a slot and memory.
func (s *seq) markAdmitted() {
	if s.hooks != nil {
		if s.hooks.admitted != nil {
			s.hooks.admitted()
			s.hooks.admitted = nil
		}
		return
	}
	select {
	case <-s.admitted: // it was admitted before it was preempted
	default:
		close(s.admitted)
	}
}

// event is one result of a step for a sequence.
type event struct {
	token int  // number of the token, from 1
	last  bool // no event follows
}

// model is the engine without its sockets: slots, queue, memory in blocks, prefix cache and steps. Its callers pass
// it the time. It is not safe for concurrent use.
type model struct {
	spec     Spec
	started  time.Time
	slowdown float64 // factor on the duration of every step

	queue        []*seq
	running      []*seq
	usedBlocks   int                      // blocks of sequences and of held KV states
	cache        map[string]*list.Element // entries of lru by their keys
	lru          *list.List               // cached prefixes, most recently used first
	cachedBlocks int                      // blocks of the cached prefixes

	sends       []send  // sends to a cold engine within the overload window
	overloaded  bool    // a cold engine has failed under overload
	meanLatency float64 // moving average of the time to the end of a read or to the first token, in ms
}

// cachedPrefix is an entry of the prefix cache.
type cachedPrefix struct {
	key    string
	tokens int
}

// send is one send that counts against the slow-start budget.
type send struct {
	at   time.Time
	work float64
}

// newModel returns an empty model; one that is not cold counts as started long enough ago to be warm.
func newModel(spec Spec, now time.Time, cold bool) *model {
	m := &model{spec: spec, started: now, slowdown: 1, cache: map[string]*list.Element{}, lru: list.New()}
	if !cold {
		m.started = now.Add(-spec.SlowStartTime)
	}
	return m
}

// capacityFraction returns the fraction of its capacity that the engine has at a time: it grows linearly over the
// slow-start time.
func (m *model) capacityFraction(now time.Time) float64 {
	age := now.Sub(m.started)
	if age >= m.spec.SlowStartTime {
		return 1
	}
	return m.spec.InitialCapacity + (1-m.spec.InitialCapacity)*float64(age)/float64(m.spec.SlowStartTime)
}

// blocksFor returns the number of blocks that hold the given tokens.
func (m *model) blocksFor(tokens int) int {
	return (tokens + m.spec.BlockTokens - 1) / m.spec.BlockTokens
}

// totalBlocks returns the size of the memory in blocks.
func (m *model) totalBlocks() int { return m.spec.MemoryTokens / m.spec.BlockTokens }

// countSend counts a send against the slow-start budget of a cold engine, which fails if the budget is exceeded.
func (m *model) countSend(now time.Time) {
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
	const slack = 2 // sends over the budget that are tolerated, for chance fluctuations
	budget := m.spec.OverloadMultiple * m.capacityFraction(now) * m.spec.capacity() * m.spec.OverloadWindow.Seconds()
	if sum > budget+slack*m.spec.meanWork() {
		m.overloaded = true
	}
}

// admit adds a sequence to the queue, or returns errFull.
func (m *model) admit(s *seq) error {
	if len(m.running)+len(m.queue) >= m.spec.MaxRunning+m.spec.MaxQueued {
		return errFull
	}
	if s.hooks == nil {
		s.admitted = make(chan struct{})
		s.events = make(chan event, s.answerTokens+1)
	}
	m.queue = append(m.queue, s)
	m.schedule()
	return nil
}

// schedule gives slots and memory to queued sequences, first come, first served.
func (m *model) schedule() {
	for len(m.queue) > 0 && len(m.running) < m.spec.MaxRunning {
		s := m.queue[0]
		need := m.blocksFor(s.promptTokens + s.written + 1)
		if !m.makeRoom(need) {
			return
		}
		m.queue = m.queue[1:]
		m.usedBlocks += need
		s.blocks, s.running = need, true
		m.running = append(m.running, s)
		switch {
		case s.written > 0: // preempted for lack of memory: everything is read again
			s.uncached, s.fetching = s.promptTokens+s.written, false
		case s.needsState:
			s.fetching = true
		default:
			s.cached = m.cachedTokens(s)
			s.uncached = max(s.promptTokens-s.cached, 1)
		}
		s.markAdmitted()
	}
}

// makeRoom frees blocks by evicting the least recently used cached prefixes. It reports whether enough are free.
func (m *model) makeRoom(need int) bool {
	if m.usedBlocks+need > m.totalBlocks() {
		return false
	}
	for m.usedBlocks+m.cachedBlocks+need > m.totalBlocks() {
		m.evict(m.lru.Back())
	}
	return true
}

// evict removes an entry from the prefix cache.
func (m *model) evict(e *list.Element) {
	c := m.lru.Remove(e).(*cachedPrefix)
	delete(m.cache, c.key)
	m.cachedBlocks -= m.blocksFor(c.tokens)
}

// cachePrefix caches a prefix if there is memory for it.
func (m *model) cachePrefix(key string, tokens int) {
	if key == "" || tokens <= 0 {
		return
	}
	if e := m.cache[key]; e != nil {
		m.evict(e)
	}
	if need := m.blocksFor(tokens); m.makeRoom(need) {
		m.cache[key] = m.lru.PushFront(&cachedPrefix{key, tokens})
		m.cachedBlocks += need
	}
}

// cachedTokens returns how many prompt tokens of a sequence are cached, by its session or its shared prefix.
func (m *model) cachedTokens(s *seq) int {
	cached := 0
	for _, key := range []string{"s " + s.sessionID, "t " + s.prefixID} {
		if e := m.cache[key]; e != nil && len(key) > 2 {
			m.lru.MoveToFront(e)
			tokens := e.Value.(*cachedPrefix).tokens
			if key[0] == 't' {
				tokens = min(tokens, s.sharedTokens)
			}
			cached = max(cached, min(tokens, s.promptTokens))
		}
	}
	return cached
}

// stateFetched marks that a sequence's KV state has arrived: it writes from the next step on.
func (m *model) stateFetched(s *seq) { s.fetching = false }

// remove takes a sequence out of the model, queued or running.
func (m *model) remove(s *seq) {
	if s.removed {
		return
	}
	s.removed = true
	m.queue = without(m.queue, s)
	m.running = without(m.running, s)
	m.usedBlocks -= s.blocks
	s.blocks = 0
	m.schedule()
}

// without returns list without s; it reuses the list's memory.
func without(list []*seq, s *seq) []*seq {
	for i, v := range list {
		if v == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// freeBlocks frees the blocks of a KV state.
func (m *model) freeBlocks(blocks int) {
	m.usedBlocks -= blocks
	m.schedule()
}

// busy reports whether a step has anything to do.
func (m *model) busy() bool {
	for _, s := range m.running {
		if !s.fetching {
			return true
		}
	}
	return false
}

// planStep returns the duration of the next step and the prompt tokens that it reads, by running sequence.
func (m *model) planStep(now time.Time) (time.Duration, []int) {
	reads := make([]int, len(m.running))
	left, writers := m.spec.ChunkTokens, 0
	tokensRead := 0
	for i, s := range m.running {
		if s.fetching {
			continue
		}
		if s.uncached > 0 {
			n := min(s.uncached, left)
			reads[i], left, tokensRead = n, left-n, tokensRead+n
			continue
		}
		writers++
	}
	d := float64(m.spec.StepTime) + float64(m.spec.StepTimePerWriter)*float64(writers) +
		float64(tokensRead)/m.spec.ReadTokensPerSecond*1e9
	return time.Duration(d * m.slowdown / m.capacityFraction(now)), reads
}

// finishStep applies a planned step. Sequences that joined after planning are not part of it.
func (m *model) finishStep(planned []*seq, reads []int) {
	for i, s := range planned {
		if s.removed || s.fetching || !s.running {
			continue
		}
		if s.uncached > 0 {
			s.uncached -= reads[i]
			if s.uncached > 0 {
				continue
			}
			m.cachePrefix("s "+s.sessionID, s.promptTokens)
			m.cachePrefix("t "+s.prefixID, s.sharedTokens)
			if s.answerTokens == 0 {
				s.running = false
				m.running = without(m.running, s) // its blocks stay in use by the KV state
				s.emit(event{last: true})
			}
			continue
		}
		m.writeToken(s)
	}
	m.schedule()
}

// writeToken writes one token of a sequence. If there is no memory for it, the newest sequences are preempted.
func (m *model) writeToken(s *seq) {
	if need := m.blocksFor(s.promptTokens + s.written + 1); need > s.blocks {
		for !m.makeRoom(need - s.blocks) {
			newest := m.running[len(m.running)-1]
			m.preempt(newest)
			if newest == s {
				return
			}
		}
		m.usedBlocks += need - s.blocks
		s.blocks = need
	}
	s.written++
	s.emit(event{token: s.written, last: s.written >= s.answerTokens})
	if s.written >= s.answerTokens {
		m.remove(s)
	}
}

// preempt takes a running sequence's slot and memory and puts it at the head of the queue.
func (m *model) preempt(s *seq) {
	m.running = without(m.running, s)
	m.usedBlocks -= s.blocks
	s.blocks, s.running = 0, false
	m.queue = append([]*seq{s}, m.queue...)
}

// load returns the engine's load: the fraction of memory in use, the prompt tokens still to read, and the latency
// average in ms.
func (m *model) load() (memoryUse, queuedTokens, latency float64) {
	for _, s := range m.queue {
		queuedTokens += float64(s.promptTokens)
	}
	for _, s := range m.running {
		if s.fetching {
			queuedTokens += float64(s.promptTokens)
		} else {
			queuedTokens += float64(s.uncached)
		}
	}
	return math.Min(float64(m.usedBlocks)/float64(max(m.totalBlocks(), 1)), 1), queuedTokens, m.meanLatency
}

// recordLatency adds a latency to the moving average.
func (m *model) recordLatency(d time.Duration) {
	const gain = 0.1
	m.meanLatency += gain * (float64(d)/1e6 - m.meanLatency)
}

// SpeedUp makes everything that the engine does faster by a factor.
func (s *Spec) SpeedUp(factor float64) {
	scale := func(d *time.Duration) { *d = time.Duration(float64(*d) / factor) }
	for _, d := range []*time.Duration{&s.StepTime, &s.StepTimePerWriter, &s.SlowStartTime, &s.OverloadWindow, &s.ReportInterval,
		&s.ReportDelay} {
		scale(d)
	}
	s.ReadTokensPerSecond *= factor
	s.PortTokensPerSecond *= factor
}
