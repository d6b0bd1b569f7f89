// Package platform defines names of the platform's HTTP protocol that its front and its engine client share.
package platform

// Paths of requests.
const (
	ReadyPath = "/up"
	ChatPath  = "/v1/chat/completions"
	HoldsPath = "/v1/holds/"
	LoadPath  = "/metrics/load"
)

// Headers of requests and responses.
const (
	IDHeader       = "X-Correlation-Id"
	ClassHeader    = "X-Service-Class"
	TenantHeader   = "X-Account"
	SessionHeader  = "X-Session-Key"
	TimeLeftHeader = "X-Time-Left-Ms"
	FactsHeader    = "X-Facts"
	// RepeatHeader is "1" in a client's retry, and "again" if the client asks for the rest of an interrupted stream.
	RepeatHeader      = "X-Repeat"
	UnprocessedHeader = "X-Unprocessed" // "1": no part of the request has run
	LoadHeader        = "X-Backend-Load"
)

// EventStreamType is the content type of an event stream.
const EventStreamType = "text/event-stream"
