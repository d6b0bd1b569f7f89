package kit2

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Client is a client's connection to a router.
type Client struct {
	net.Conn
	br *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{nc, bufio.NewReader(nc)}, nil
}

// Write writes text.
func (c *Client) Write(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}

// Answer is what has come back for one request.
type Answer struct {
	Status  int
	Body    string
	Whole   bool // the answer has its end
	Closing bool // it says that the connection closes
	First   time.Time
	End     time.Time
	Err     error
}

// String returns the answer in words.
func (a *Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	body := strings.TrimSpace(a.Body)
	return fmt.Sprintf("status %d, whole: %v, %d bytes: %.60q", a.Status, a.Whole, len(a.Body), body)
}

// Read reads the next answer, until a time.
func (c *Client) Read(until time.Time) Answer {
	c.SetReadDeadline(until)
	var a Answer
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		a.Err, a.End = err, time.Now()
		return a
	}
	a.Status, a.First, a.Closing = resp.StatusCode, time.Now(), resp.Close
	b, err := io.ReadAll(resp.Body)
	a.Body, a.Err, a.Whole, a.End = string(b), err, err == nil, time.Now()
	return a
}

// NewID returns a fresh id.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Message returns a client's request as it stands on the socket.
func Message(id, class string, left time.Duration, fields ...string) string {
	body := `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"` + strings.Repeat("what is the rate ", 100) + `"}]}`
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Session-Key: %s\r\nX-Time-Left-Ms: %d\r\nX-Facts: prompt_len=%d,max_out=200\r\nContent-Type: application/json\r\n", id, class,
		NewID(), left.Milliseconds(), len(body)/4)
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// Sent is a request of TrafficOf and what has come back.
type Sent struct {
	ID     string
	At     time.Time
	Answer Answer
}

// Traffic sends so many requests a second to a router, one on a connection, until a time. It returns when all have ended.
func (c *Case) Traffic(r *Router, perSecond float64, until time.Time) {
	c.TrafficOf(PriceAsk, r, perSecond, until)
}

// TrafficOf does the same with requests of a class.
func (c *Case) TrafficOf(class string, r *Router, perSecond float64, until time.Time) (all []Sent) {
	var open sync.WaitGroup
	var mu sync.Mutex
	for time.Now().Before(until) {
		open.Go(func() {
			s := Sent{ID: NewID(), At: time.Now()}
			cl, err := Dial(r.Addr)
			if err != nil {
				c.Note("client: %s could not connect to %s", s.ID, r.Name)
				return
			}
			defer cl.Close()
			cl.Write(Message(s.ID, class, 6*time.Second))
			s.Answer = cl.Read(time.Now().Add(12 * time.Second))
			c.NoteAt(s.Answer.End, "client: %s, sent to %s: status %d, whole: %v", s.ID, r.Name, s.Answer.Status, s.Answer.Whole)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	open.Wait()
	return all
}
