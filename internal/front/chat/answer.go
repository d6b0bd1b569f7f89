package chat

import (
	"context"
	"strconv"
	"time"

	"mintdoor/internal/front"
	"mintdoor/internal/platform"
	"mintdoor/internal/router"
)

// statusTexts has the reason phrase of each status that the front sends.
var statusTexts = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Server Error",
	503: "Service Unavailable", 504: "Gateway Timeout"}

// statusCode returns the HTTP status for a kind of error. Only 429 and 503 tell the client that a retry is safe.
func statusCode(t front.ErrorKind) int {
	switch t {
	case front.BadRequest:
		return 400
	case front.NotFound:
		return 404
	case front.TooLarge:
		return 413
	case front.Busy:
		return 429
	case front.Unavailable:
		return 503
	case front.TimedOut:
		return 504
	}
	return 500
}

// response returns a complete HTTP response. closeAfter adds Connection: close.
func (f *Front) response(code int, contentType string, body []byte, retryAfter time.Duration, closeAfter bool) []byte {
	b := make([]byte, 0, 192+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, " "+statusTexts[code]+"\r\nContent-Type: "+contentType+"\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfter > 0 && f.opts.SendRetryAfter {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
	}
	if closeAfter {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// respond sends a response with a short text and reports whether the connection can take another request.
func (c *conn) respond(code int, text string, retryAfter time.Duration, closeAfter bool) bool {
	f := c.front
	closeAfter = closeAfter || f.closing.Load()
	var body []byte
	if text != "" {
		body = []byte(text + "\n")
	}
	if c.request != nil && !c.request.BeginAnswer(strconv.Itoa(code)+" "+text) {
		return false
	}
	c.SetWriteDeadline(time.Now().Add(f.opts.WriteTimeout))
	_, err := c.Write(f.response(code, "text/plain", body, retryAfter, closeAfter))
	c.complete = err == nil
	return c.complete && !closeAfter
}

// respondError responds with an error and reports whether the connection can take another request.
func (c *conn) respondError(e *front.Error, closeAfter bool) bool {
	return c.respond(statusCode(e.Kind), e.Text, e.RetryAfter, closeAfter)
}

// streamAnswer forwards a request's events to its client, each as soon as it arrives, followed by the request's
// ending. It reports whether the connection can take another request.
func (c *conn) streamAnswer(ctx context.Context, q *router.Request, closeAfter bool) bool {
	defer q.Abandon() // has no effect after the ending
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watcher := c.watchClient(func() {
		c.request.ClientLeft()
		cancel()
	})
	defer watcher.stop(c)
	started := false
	var buf []byte
	for {
		event, end := q.Next(ctx)
		if end == nil {
			buf = buf[:0]
			if !started {
				if started = c.request.BeginAnswer("200"); !started {
					return false
				}
				closeAfter = closeAfter || c.front.closing.Load()
				buf = append(buf, "HTTP/1.1 200 OK\r\nContent-Type: "+platform.EventStreamType+"\r\nCache-Control: no-store\r\n"...)
				if closeAfter {
					buf = append(buf, "Connection: close\r\n"...)
				}
				buf = append(buf, "Transfer-Encoding: chunked\r\n\r\n"...)
			}
			buf = strconv.AppendInt(buf, int64(len(event)), 16)
			buf = append(append(append(buf, "\r\n"...), event...), "\r\n"...)
			c.SetWriteDeadline(time.Now().Add(c.front.opts.WriteTimeout))
			if _, err := c.Write(buf); err != nil {
				return false
			}
			if cap(buf) > maxKeptBuffer {
				buf = nil
			}
			continue
		}
		e := front.EndingError(end)
		switch {
		case end.Kind == router.Gone && (started || !watcher.stop(c)):
			return false
		case end.Kind == router.Gone: // the front or the core stops before the request has an answer
			return c.respond(500, "the router has stopped", 0, true)
		case e != nil && started:
			return false // the stream ends without its last chunk, so the client sees that it is incomplete
		case !watcher.stop(c):
			return false
		case e != nil:
			return c.respondError(e, closeAfter)
		case !started:
			return c.respond(500, "an answer without an event", 0, true)
		}
		c.SetWriteDeadline(time.Now().Add(c.front.opts.WriteTimeout))
		_, err := c.Write([]byte("0\r\n\r\n"))
		c.complete = err == nil
		return c.complete && !closeAfter
	}
}
