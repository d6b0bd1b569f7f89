package decide

// ServerView is the module's view of a server, for tests and diagnostics. No decision depends on it.
type ServerView struct {
	Server       ServerID
	Pending      int     // own attempts without a first response
	Streams      int     // own attempts at a writer, whether or not the first token has come
	BookedTokens float64 // prompt tokens of these attempts
	QueuedTokens float64 // own tokens that wait to be read
	MemoryUse    float64 // reported fraction; negative if not reported
	Ejected      bool    // suspect: gets at most trial requests
}

// ServerViews returns the module's view of every server, ordered by id.
func (r *Router) ServerViews() []ServerView {
	out := make([]ServerView, 0, len(r.byID))
	for _, s := range r.byID {
		out = append(out, ServerView{Server: s.id, Pending: s.unanswered, Streams: s.streams, BookedTokens: s.bookedTokens,
			QueuedTokens: s.queuedTokens, MemoryUse: s.memoryUse, Ejected: r.isSuspect(s, false)})
	}
	return out
}
