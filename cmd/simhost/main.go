// Command simhost runs instances of the decision module for the simulator. It reads batches of events from standard
// input and writes one reply for each to standard output. It opens no sockets and reads no clock: the batches carry
// the time.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"mintdoor/decide"
	"mintdoor/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. The first error ends it.
func run(in io.Reader, out io.Writer) error {
	var (
		dec     = simwire.NewDecoder(in)
		enc     simwire.Encoder
		routers = map[uint32]*decide.Router{}
		actions []decide.Action
		rec     simwire.Record
	)
	for batch := 1; ; batch++ {
		now, err := dec.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		enc.Reset()
		for {
			more, err := dec.Next(&rec)
			if err != nil {
				return fmt.Errorf("batch %d: %w", batch, err)
			}
			if !more {
				break
			}
			switch rec.Kind {
			case simwire.Start:
				settings, fields, err := simwire.ParseSettings(rec.Settings)
				if err != nil {
					return fmt.Errorf("batch %d: instance %d: %w", batch, rec.Instance, err)
				}
				dec.SetReportFields(fields)
				routers[rec.Instance] = decide.New(settings, rec.Seed, now)
			case simwire.Stop:
				delete(routers, rec.Instance)
			case simwire.InstanceEvent:
				r := routers[rec.Instance]
				if r == nil {
					continue
				}
				var failure string
				actions, failure = handle(r, now, &rec.Event, actions[:0])
				if failure != "" {
					delete(routers, rec.Instance)
					enc.Exception(rec.Instance, failure)
					continue
				}
				for i := range actions {
					if err := enc.Action(rec.Instance, &actions[i]); err != nil {
						return fmt.Errorf("batch %d: instance %d: %w", batch, rec.Instance, err)
					}
				}
			}
		}
		if err := enc.Flush(out); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
	}
}

// handle passes an event to a router. If the router panics, failure holds the reason and there are no actions.
func handle(r *decide.Router, now decide.Time, ev *decide.Event, out []decide.Action) (
	acts []decide.Action, failure string) {
	defer func() {
		if p := recover(); p != nil {
			acts, failure = out[:0], fmt.Sprintf("decision module: %v", p)
		}
	}()
	return r.Handle(now, ev, out), ""
}
