package decide

// ServerView is what the module believes of a server. It is for looking at: nothing is decided by it.
type ServerView struct {
	Server       ServerID
	Pending      int     // own attempts that wait for a first sign
	Streams      int     // own attempts at a writer, begun or not
	BookedTokens float64 // prompt tokens of those
	QueuedTokens float64 // own tokens that wait to be read
	MemoryUse    float64 // reported share of memory; negative while untold
	Ejected      bool    // it is suspect and gets no ordinary request
}

// ServerViews returns what the module believes of each server, by their ids.
func (r *Router) ServerViews() []ServerView {
	out := make([]ServerView, 0, len(r.order))
	for _, s := range r.order {
		out = append(out, ServerView{Server: s.id, Pending: s.pending, Streams: s.streams, BookedTokens: s.booked,
			QueuedTokens: s.waiting, MemoryUse: s.share, Ejected: r.suspect(s, false)})
	}
	return out
}
