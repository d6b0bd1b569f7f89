package chat

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"

	"mintdoor/internal/front"
	"mintdoor/internal/platform"
	"mintdoor/internal/router"
)

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Server Error",
	503: "Service Unavailable", 504: "Gateway Timeout"}

// status maps trouble to a status. Only 429 and 503 say that trying again is harmless.
func status(t front.ErrorKind) int {
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

// answer makes a whole answer.
func (f *Front) answer(code int, contentType string, body []byte, retryAfter time.Duration, closes bool) []byte {
	b := make([]byte, 0, 192+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, " "+reasons[code]+"\r\nContent-Type: "+contentType+"\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfter > 0 && f.opts.SendRetryAfter {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
	}
	if closes {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// say answers with a short text and reports whether the connection can take another request.
func (c *conn) say(code int, text string, retryAfter time.Duration, closes bool) bool {
	f := c.front
	closes = closes || f.last.Load()
	var body []byte
	if text != "" {
		body = []byte(text + "\n")
	}
	if c.request != nil && !c.request.BeginAnswer(strconv.Itoa(code)+" "+text) {
		return false
	}
	c.SetWriteDeadline(time.Now().Add(f.opts.WriteTimeout))
	_, err := c.Write(f.answer(code, "text/plain", body, retryAfter, closes))
	c.whole = err == nil
	return c.whole && !closes
}

func (c *conn) fail(e *front.Error, closes bool) bool {
	return c.say(status(e.Kind), e.Text, e.RetryAfter, closes)
}

// hand hands a request's events on to its client, each as it comes, and its ending.
func (c *conn) hand(ctx context.Context, q *router.Request, closes bool) bool {
	defer q.Abandon() // of no effect after the ending
	ctx, left := context.WithCancel(ctx)
	defer left()
	watching := c.watch(func() {
		c.request.ClientLeft()
		left()
	})
	defer watching.stop(c)
	begun := false
	var buf []byte
	for {
		event, end := q.Next(ctx)
		if end == nil {
			buf = buf[:0]
			if !begun {
				if begun = c.request.BeginAnswer("200"); !begun {
					return false
				}
				closes = closes || c.front.last.Load()
				buf = append(buf, "HTTP/1.1 200 OK\r\nContent-Type: "+platform.EventStreamType+"\r\nCache-Control: no-store\r\n"...)
				if closes {
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
			continue
		}
		e := front.EndingError(end)
		switch {
		case end.Kind == router.Gone && (begun || !watching.stop(c)):
			return false
		case end.Kind == router.Gone: // the front has ended before the core
			return c.say(500, "the router has stopped", 0, true)
		case e != nil && begun:
			return false // ends without the last chunk
		case !watching.stop(c):
			return false
		case e != nil:
			return c.fail(e, closes)
		case !begun:
			return c.say(500, "an answer without an event", 0, true)
		}
		c.SetWriteDeadline(time.Now().Add(c.front.opts.WriteTimeout))
		_, err := c.Write([]byte("0\r\n\r\n"))
		c.whole = err == nil
		return c.whole && !closes
	}
}

// watcher notices that a client has left while its request is open.
type watcher struct {
	done chan struct{}
	gone bool
}

// watch reads ahead on the connection: the client's leaving may stand behind what it has sent before its answer.
// Past the bounds of that it shows only when the client is written to.
func (c *conn) watch(left func()) *watcher {
	w := &watcher{done: make(chan struct{})}
	c.SetReadDeadline(time.Time{})
	c.front.conns.tasks.Add(1)
	go func() {
		defer c.front.conns.tasks.Done()
		defer close(w.done)
		for {
			var err error
			if n := c.br.Buffered(); n < c.br.Size() {
				_, err = c.br.Peek(n + 1)
			} else {
				err = c.readAhead()
			}
			if err != nil {
				if w.gone = !isTimeout(err) && !errors.Is(err, errNoRoom); w.gone {
					left()
				}
				return
			}
			c.front.conns.seen.Add(1)
		}
	}()
	return w
}

// readAhead reads what br has no room for.
func (c *conn) readAhead() error {
	if n := len(c.ahead); n == cap(c.ahead) {
		grown := min(max(2*n, readBuffer), maxAhead)
		if n >= grown {
			return errNoRoom
		}
		more := int64(grown) - c.room
		if c.front.bodies.Add(more) > c.front.opts.MaxBodyMemory {
			c.front.bodies.Add(-more)
			return errNoRoom
		}
		c.room = int64(grown) // dropAhead gives it back
		c.ahead = append(make([]byte, 0, grown), c.ahead...)
	}
	n, err := c.Conn.Read(c.ahead[len(c.ahead):cap(c.ahead)])
	c.ahead = c.ahead[:len(c.ahead)+n]
	return err
}

func isTimeout(err error) bool { return os.IsTimeout(err) }

// stop ends the watch and reports whether the client is still there.
func (w *watcher) stop(c *conn) bool {
	c.SetReadDeadline(past)
	<-w.done
	c.SetReadDeadline(time.Time{})
	return !w.gone
}
