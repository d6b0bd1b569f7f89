// Package platform has the names of the platform's protocol that its front and its engines' client share.
package platform

// The paths.
const (
	ReadyPath = "/up"
	ChatPath  = "/v1/chat/completions"
	HoldsPath = "/v1/holds/"
	LoadPath  = "/metrics/load"
)

// The headers.
const (
	IDHeader          = "X-Correlation-Id"
	ClassHeader       = "X-Service-Class"
	TenantHeader      = "X-Account"
	SessionHeader     = "X-Session-Key"
	TimeLeftHeader    = "X-Time-Left-Ms"
	FactsHeader       = "X-Facts"
	RepeatHeader      = "X-Repeat"      // 1: a client's retry; again: it asks for the rest of a broken stream
	UnprocessedHeader = "X-Unprocessed" // 1: nothing of the request has run
	LoadHeader        = "X-Backend-Load"
)

// EventStreamType is the type of a stream of events.
const EventStreamType = "text/event-stream"
