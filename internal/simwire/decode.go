// Package simwire speaks the simulator's wire 'fjord-1aaa': it turns frames into the decision
// module's events and its actions into replies. It decides nothing.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"mintdoor/decide"
	"mintdoor/internal/settings"
)

// The codes of the events.
const (
	codeClientGone = 10
	codeTimer      = 20
	codeList       = 30
	codeRequest    = 40
	codeFirst      = 50
	codeMembers    = 60
	codeInit       = 70
	codePeer       = 80
	codeProbed     = 90
	codeNote       = 100
	codeStop       = 110
	codeOutcome    = 120
)

const (
	batchHeader = 16
	entrySize   = 25
	maxTables   = 16
	// maxBatch bounds what one header may make the host allocate.
	maxBatch = 1 << 30
)

// Kind tells what a Record asks of the host.
type Kind uint8

// The kinds of records.
const (
	InstanceEvent Kind = iota // Event is for the instance
	Start                     // a new instance with Seed and Settings
	Stop                      // the instance is no more
)

// Record is one record of a batch that concerns an instance.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings string
	Event    decide.Event
}

// Decoder reads batches. Lists are shared by all instances and live as long as the decoder.
type Decoder struct {
	in     *bufio.Reader
	buf    []byte
	at     int
	left   uint32
	record uint32
	tables [maxTables][]decide.Listing
	known  [maxTables]bool
	// Fields are the names of the values in a load report, told at start, the same for all instances.
	fields []string
}

// NewDecoder reads frames from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(in, 1<<16)}
}

// SetReportFields tells which values load reports carry, in order.
func (d *Decoder) SetReportFields(names []string) { d.fields = names }

// Batch reads the next batch whole and returns its clock. io.EOF ends the stream between batches.
func (d *Decoder) Batch() (decide.Time, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(d.in, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header cut off after %d of %d bytes: %w", n, batchHeader, err)
	}
	count, size := binary.BigEndian.Uint32(head[0:]), binary.BigEndian.Uint32(head[4:])
	if size > maxBatch || count > size {
		return 0, fmt.Errorf("batch header: %d records in %d bytes is impossible", count, size)
	}
	if cap(d.buf) < int(size) {
		d.buf = make([]byte, size)
	}
	d.buf = d.buf[:size]
	if n, err := io.ReadFull(d.in, d.buf); err != nil {
		return 0, fmt.Errorf("batch body cut off after %d of %d bytes: %w", n, size, err)
	}
	d.at, d.left, d.record = 0, count, 0
	return decide.Time(binary.BigEndian.Uint64(head[8:])), nil
}

// Next returns the next record of the batch; false when there is none left.
func (d *Decoder) Next(rec *Record) (bool, error) {
	for d.left > 0 {
		d.left--
		d.record++
		start := d.at
		keep, err := d.decode(rec)
		if err != nil {
			return false, fmt.Errorf("record %d at byte %d: %w", d.record, start, err)
		}
		if keep {
			return true, nil
		}
	}
	if d.at != len(d.buf) {
		return false, fmt.Errorf("%d bytes left over after the last record", len(d.buf)-d.at)
	}
	return false, nil
}

// need returns the next n bytes.
func (d *Decoder) need(n int, what string) ([]byte, error) {
	if n < 0 || n > len(d.buf)-d.at {
		return nil, fmt.Errorf("%s needs %d bytes, %d are left", what, n, len(d.buf)-d.at)
	}
	b := d.buf[d.at : d.at+n]
	d.at += n
	return b, nil
}

func (d *Decoder) decode(rec *Record) (bool, error) {
	code, err := d.need(1, "record code")
	if err != nil {
		return false, err
	}
	if code[0] == codeList {
		return false, d.list()
	}
	*rec = Record{}
	ev := &rec.Event
	fixed := func(n int, name string) ([]byte, error) {
		b, err := d.need(n, name)
		if err == nil {
			rec.Instance = binary.BigEndian.Uint32(b)
		}
		return b, err
	}
	switch code[0] {
	case codeInit:
		b, err := fixed(16, "BORN")
		if err != nil {
			return false, err
		}
		rec.Kind, rec.Seed = Start, binary.BigEndian.Uint64(b[4:])
		conf, err := d.need(int(binary.BigEndian.Uint32(b[12:])), "BORN settings")
		rec.Settings = string(conf)
		return true, err
	case codeStop:
		_, err := fixed(4, "EXIT")
		rec.Kind = Stop
		return true, err
	case codeMembers:
		b, err := fixed(14, "VIEW")
		if err != nil {
			return false, err
		}
		return true, d.members(b, ev)
	case codeRequest:
		b, err := fixed(59, "JOB_IN")
		if err != nil {
			return false, err
		}
		arrived(b, ev)
	case codeFirst:
		b, err := fixed(23, "STARTED")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Request, ev.Attempt = decide.FirstToken, request(b[4:]), int(b[8])
		ev.Elapsed, ev.Server = span(b[9:]), server(b[17:])
	case codeNote:
		b, err := fixed(20, "HELD_NOTE")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Request, ev.Attempt = decide.ReservationAnswer, request(b[4:]), int(b[12])
		ev.Server, ev.Granted = server(b[13:]), b[19] == 1
	case codeOutcome:
		b, err := fixed(30, "VERDICT")
		if err != nil {
			return false, err
		}
		return true, d.outcome(b, ev)
	case codeClientGone:
		b, err := fixed(8, "TIMED_OUT_CLIENT")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Request = decide.ClientLeft, request(b[4:])
	case codeTimer:
		b, err := fixed(12, "FIRED")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.TimerID = decide.Timer, binary.BigEndian.Uint64(b[4:])
	case codeProbed:
		b, err := fixed(20, "PING_RESULT")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Server, ev.Elapsed = decide.Probed, server(b[4:]), span(b[11:])
		if ev.Outcome, err = outcome(b[10]); err != nil {
			return false, err
		}
		return true, d.report(b[19], &ev.Report)
	case codePeer:
		b, err := fixed(10, "PEER_DATA")
		if err != nil {
			return false, err
		}
		ev.Kind = decide.PeerMessage
		_, err = d.need(int(binary.BigEndian.Uint16(b[8:])), "PEER_DATA bytes")
		return true, err
	default:
		return false, fmt.Errorf("unknown event code %d", code[0])
	}
	return true, nil
}

func arrived(b []byte, ev *decide.Event) {
	marks := b[58]
	ev.Kind, ev.Request = decide.Arrived, request(b[4:])
	ev.Job = decide.Job{
		Class: int(binary.BigEndian.Uint16(b[8:])), Tenant: int(binary.BigEndian.Uint32(b[10:])),
		SessionID: binary.BigEndian.Uint64(b[14:]), Deadline: span(b[22:]),
		PrefixID: binary.BigEndian.Uint64(b[38:]), PromptTokens: float(b[46:]), PrefixTokens: float(b[50:]),
		MaxOutputTokens: float(b[54:]), ClientRetry: marks&2 != 0, AfterInterruption: marks&16 != 0,
	}
	if marks&1 != 0 {
		ev.Job.LengthHint = span(b[30:])
	}
}

func (d *Decoder) outcome(b []byte, ev *decide.Event) error {
	var err error
	if ev.Outcome, err = outcome(b[15]); err != nil {
		return err
	}
	ev.Kind, ev.Request, ev.Attempt, ev.Server = decide.AttemptEnded, request(b[4:]), int(b[8]), server(b[9:])
	ev.Elapsed, ev.Closed = span(b[16:]), b[24] != 0
	info := binary.BigEndian.Uint32(b[25:])
	if ev.Outcome == decide.Full {
		ev.NoState = info == 1
	} else {
		ev.CachedTokens = float64(info)
	}
	return d.report(b[29], &ev.Report)
}

func (d *Decoder) members(b []byte, ev *decide.Event) error {
	switch b[4] {
	case 0:
		ev.Kind = decide.ListChanged
	case 1:
		ev.Kind = decide.ListFull
	case 2:
		ev.Kind = decide.ListCached
	case 3:
		ev.Kind = decide.ListFailed
		return nil
	default:
		return fmt.Errorf("VIEW: unknown form %d", b[4])
	}
	table := b[13]
	if table >= maxTables || !d.known[table] {
		return fmt.Errorf("VIEW: list %d was never defined", table)
	}
	ev.Servers = d.tables[table]
	return nil
}

func (d *Decoder) list() error {
	b, err := d.need(5, "DEFINE_LIST")
	if err != nil {
		return err
	}
	table, count := b[0], binary.BigEndian.Uint32(b[1:])
	if table >= maxTables {
		return fmt.Errorf("DEFINE_LIST: list number %d is out of range", table)
	}
	if uint64(count)*entrySize > uint64(len(d.buf)-d.at) {
		return fmt.Errorf("DEFINE_LIST: %d entries do not fit into %d bytes", count, len(d.buf)-d.at)
	}
	// A fresh slice each time: events of this batch may still hold the list that had this number.
	entries := make([]decide.Listing, count)
	for i := range entries {
		b, err := d.need(entrySize, "list entry")
		if err != nil {
			return err
		}
		if b[12] > 2 {
			return fmt.Errorf("list entry %d: unknown condition %d", i, b[12])
		}
		entries[i] = decide.Listing{
			Server: server(b), Zone: int(binary.BigEndian.Uint16(b[6:])),
			Kind: int(binary.BigEndian.Uint16(b[8:])), Cell: int(binary.BigEndian.Uint16(b[10:])),
			Condition: decide.Condition(b[12]), Weight: float(b[13:]), StartedAt: span(b[17:]),
		}
	}
	d.tables[table], d.known[table] = entries, true
	return nil
}

// report reads n values; those that the settings do not name are passed over.
func (d *Decoder) report(n byte, rep *decide.Report) error {
	b, err := d.need(4*int(n), "load report")
	if err != nil {
		return err
	}
	*rep = settings.ParseReport(func(name string) (float64, bool) {
		for i := 0; i < int(n) && i < len(d.fields); i++ {
			if d.fields[i] == name {
				return float(b[4*i:]), true
			}
		}
		return 0, false
	})
	return nil
}

func outcome(code byte) (decide.Outcome, error) {
	switch code {
	case 0:
		return decide.Served, nil
	case 5:
		return decide.Error, nil
	case 11:
		return decide.Full, nil
	case 102:
		return decide.ReadDone, nil
	case 104:
		return decide.Reset, nil
	case 110:
		return decide.TimedOut, nil
	case 111:
		return decide.ConnectFailed, nil
	case 114:
		return decide.NotStarted, nil
	case 125:
		return decide.Cancelled, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", code)
}

func request(b []byte) decide.RequestID { return decide.RequestID(binary.BigEndian.Uint32(b)) }

func span(b []byte) decide.Time { return decide.Time(binary.BigEndian.Uint64(b)) }

func float(b []byte) float64 { return float64(math.Float32frombits(binary.BigEndian.Uint32(b))) }

// server packs an address and a port, first byte first.
func server(b []byte) decide.ServerID {
	return decide.ServerID(binary.BigEndian.Uint32(b))<<16 | decide.ServerID(binary.BigEndian.Uint16(b[4:]))
}
