package simwire

import (
	"encoding/binary"
	"fmt"
	"io"

	"mintdoor/decide"
)

// Codes of the records of a reply.
const (
	codeReserve   = 30
	codeFail      = 40
	codeWatchList = 50
	codeException = 60
	codeProbe     = 70
	codeRefuse    = 80
	codeCancel    = 90
	codeRelease   = 100
	codeNote      = 110
	codeMove      = 120
	codeSend      = 130
	codeSetTimer  = 140
)

const replyHeader = 8

// maxText is the longest text of a record in bytes, as its length is 16 bits wide.
const maxText = 1<<16 - 1

// Encoder builds a reply. Call Reset before each reply and Flush after its last record.
type Encoder struct {
	buf   []byte
	count uint32
}

// Reset starts a new reply.
func (e *Encoder) Reset() {
	e.buf, e.count = append(e.buf[:0], make([]byte, replyHeader)...), 0
}

// Action adds an action of an instance to the reply.
func (e *Encoder) Action(inst uint32, a *decide.Action) error {
	switch a.Kind {
	case decide.Send:
		e.head(codeSend, inst)
		e.request(a.Request)
		e.server(a.Server)
		e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(a.After))
	case decide.Cancel:
		e.head(codeCancel, inst)
		e.request(a.Request)
		e.buf = append(e.buf, byte(a.Attempt))
	case decide.Refuse:
		e.head(codeRefuse, inst)
		e.request(a.Request)
		e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(a.After))
	case decide.Fail:
		e.head(codeFail, inst)
		e.request(a.Request)
	case decide.Release:
		e.head(codeRelease, inst)
		e.request(a.Request)
	case decide.Move:
		e.head(codeMove, inst)
		e.request(a.Request)
	case decide.SetTimer:
		e.head(codeSetTimer, inst)
		e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(a.After))
		e.buf = binary.BigEndian.AppendUint64(e.buf, a.TimerID)
	case decide.Probe:
		e.head(codeProbe, inst)
		e.server(a.Server)
	case decide.Reserve:
		e.head(codeReserve, inst)
		e.request(a.Request)
		e.server(a.Server)
	case decide.WatchList:
		e.head(codeWatchList, inst)
		e.buf = append(e.buf, 1)
	case decide.Note:
		e.text(codeNote, inst, a.Reason)
	default:
		return fmt.Errorf("action kind %d has no code on this wire", a.Kind)
	}
	return nil
}

// Exception adds the report that the decision module of an instance has panicked, with the reason.
func (e *Encoder) Exception(inst uint32, reason string) { e.text(codeException, inst, reason) }

// Flush completes the reply and writes it.
func (e *Encoder) Flush(out io.Writer) error {
	binary.BigEndian.PutUint32(e.buf[0:], uint32(len(e.buf)-replyHeader))
	binary.BigEndian.PutUint32(e.buf[4:], e.count)
	if _, err := out.Write(e.buf); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// head begins a record.
func (e *Encoder) head(code byte, inst uint32) {
	e.count++
	e.buf = append(e.buf, code)
	e.buf = binary.BigEndian.AppendUint32(e.buf, inst)
}

func (e *Encoder) request(id decide.RequestID) {
	e.buf = binary.BigEndian.AppendUint32(e.buf, uint32(id))
}

func (e *Encoder) server(id decide.ServerID) {
	e.buf = binary.BigEndian.AppendUint32(e.buf, uint32(id>>16))
	e.buf = binary.BigEndian.AppendUint16(e.buf, uint16(id))
}

// text adds a record that consists of a text, cut to maxText.
func (e *Encoder) text(code byte, inst uint32, s string) {
	if len(s) > maxText {
		s = s[:maxText]
	}
	e.head(code, inst)
	e.buf = binary.BigEndian.AppendUint16(e.buf, uint16(len(s)))
	e.buf = append(e.buf, s...)
}
