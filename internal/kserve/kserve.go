// Package kserve has the messages of the KServe V2 protocol (Open Inference Protocol) in their JSON encoding, with
// the checks that the specification requires. Names and fields follow the public specification: "Open Inference
// Protocol, HTTP/REST" for health, metadata and inference, and its generate extension for generate and
// generate_stream. The front, the client of the engines and the stand-ins share the package.
package kserve

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
)

// Parameters are the protocol's free key/value pairs. The specification allows strings, numbers and booleans as
// values; Check rejects all others.
type Parameters map[string]any

// Check returns an error for the first value that the specification does not allow.
func (p Parameters) Check() error {
	for _, k := range slices.Sorted(maps.Keys(p)) {
		switch p[k].(type) {
		case string, bool, float64, json.Number:
		default:
			return fmt.Errorf("parameter %q must be a string, a number or a boolean", k)
		}
	}
	return nil
}

// Text returns a string parameter, or "" if it is absent. It converts a number to its digits, so that ids may be
// given as strings or as numbers.
func (p Parameters) Text(name string) (string, error) {
	switch v := p[name].(type) {
	case nil:
		return "", nil
	case string:
		return v, nil
	case json.Number:
		return v.String(), nil
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	}
	return "", fmt.Errorf("parameter %q must be a string", name)
}

// Number returns a numeric parameter and whether it is present. The number must be finite and not negative.
func (p Parameters) Number(name string) (float64, bool, error) {
	var f float64
	var err error
	switch v := p[name].(type) {
	case nil:
		return 0, false, nil
	case float64:
		f = v
	case json.Number:
		f, err = v.Float64()
	default:
		err = errors.New("not a number")
	}
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return 0, false, fmt.Errorf("parameter %q must be a number that is not negative", name)
	}
	return f, true, nil
}

// Bool returns a boolean parameter, or false if it is absent.
func (p Parameters) Bool(name string) (bool, error) {
	switch v := p[name].(type) {
	case nil:
		return false, nil
	case bool:
		return v, nil
	}
	return false, fmt.Errorf("parameter %q must be true or false", name)
}

// Tensor is an input or output tensor. Data has its elements in row-major order, nested or flat.
type Tensor struct {
	Name       string          `json:"name"`
	Shape      []int64         `json:"shape"`
	Datatype   string          `json:"datatype"`
	Parameters Parameters      `json:"parameters,omitempty"`
	Data       json.RawMessage `json:"data,omitempty"`
}

// RequestedOutput names an output that the client requests.
type RequestedOutput struct {
	Name       string     `json:"name"`
	Parameters Parameters `json:"parameters,omitempty"`
}

// InferRequest is the body of POST v2/models/{model}/infer.
type InferRequest struct {
	ID         string            `json:"id,omitempty"`
	Parameters Parameters        `json:"parameters,omitempty"`
	Inputs     []Tensor          `json:"inputs"`
	Outputs    []RequestedOutput `json:"outputs,omitempty"`
}

// InferResponse is the body of the response to an InferRequest.
type InferResponse struct {
	ModelName    string     `json:"model_name"`
	ModelVersion string     `json:"model_version,omitempty"`
	ID           string     `json:"id,omitempty"`
	Parameters   Parameters `json:"parameters,omitempty"`
	Outputs      []Tensor   `json:"outputs"`
}

// GenerateRequest is the body of the requests generate and generate_stream.
type GenerateRequest struct {
	ID         string     `json:"id,omitempty"`
	TextInput  string     `json:"text_input"`
	Parameters Parameters `json:"parameters,omitempty"`
}

// Details has additional information about a finished answer.
type Details struct {
	FinishReason string `json:"finish_reason,omitempty"`
}

// GenerateResponse is the response of generate and the data of each event of generate_stream. An event that reports a
// failure has Error and no part of the answer.
type GenerateResponse struct {
	ModelName    string     `json:"model_name,omitempty"`
	ModelVersion string     `json:"model_version,omitempty"`
	ID           string     `json:"id,omitempty"`
	TextOutput   string     `json:"text_output"`
	Details      *Details   `json:"details,omitempty"`
	Parameters   Parameters `json:"parameters,omitempty"`
	Error        string     `json:"error,omitempty"`
}

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// ServerMetadata is the response to GET v2.
type ServerMetadata struct {
	Name       string   `json:"name"`
	Version    string   `json:"version"`
	Extensions []string `json:"extensions"`
}

// TensorMetadata describes an input or output in a model's metadata. -1 in Shape stands for a variable dimension.
type TensorMetadata struct {
	Name     string  `json:"name"`
	Datatype string  `json:"datatype"`
	Shape    []int64 `json:"shape"`
}

// ModelMetadata is the response to GET v2/models/{model}.
type ModelMetadata struct {
	Name     string           `json:"name"`
	Versions []string         `json:"versions,omitempty"`
	Platform string           `json:"platform"`
	Inputs   []TensorMetadata `json:"inputs"`
	Outputs  []TensorMetadata `json:"outputs"`
}

// elementKind is the form that the elements of a datatype have in JSON.
type elementKind uint8

// The kinds of elements.
const (
	kindBool elementKind = iota + 1
	kindInt
	kindUint
	kindFloat
	kindBytes
)

// datatypes are those of the specification's table "Tensor Data Types", with their sizes in bits.
var datatypes = map[string]struct {
	kind elementKind
	bits int
}{
	"BOOL": {kindBool, 8}, "BYTES": {kindBytes, 0},
	"UINT8": {kindUint, 8}, "UINT16": {kindUint, 16}, "UINT32": {kindUint, 32}, "UINT64": {kindUint, 64},
	"INT8": {kindInt, 8}, "INT16": {kindInt, 16}, "INT32": {kindInt, 32}, "INT64": {kindInt, 64},
	"FP16": {kindFloat, 16}, "FP32": {kindFloat, 32}, "FP64": {kindFloat, 64}, "BF16": {kindFloat, 16},
}

// ElementCount returns the product of a shape's dimensions. A negative dimension, or a product over limit, is an
// error.
func ElementCount(shape []int64, limit int64) (int64, error) {
	n := int64(1)
	for _, d := range shape {
		if d < 0 {
			return 0, fmt.Errorf("shape %v has a negative dimension", shape)
		}
		if d > 0 && n > limit/d {
			return 0, fmt.Errorf("shape %v has more than %d elements", shape, limit)
		}
		n *= d
	}
	return n, nil
}

// Check verifies a tensor's datatype and shape, and that its data has the right number of elements of that datatype.
// Every error names the tensor, unless it has no name.
func (t *Tensor) Check(limit int64) error {
	if t.Name == "" {
		return errors.New("a tensor has no name")
	}
	dt, ok := datatypes[t.Datatype]
	if !ok {
		return fmt.Errorf("tensor %q: unknown datatype %q", t.Name, t.Datatype)
	}
	if t.Shape == nil {
		return fmt.Errorf("tensor %q: shape is missing", t.Name)
	}
	want, err := ElementCount(t.Shape, limit)
	if err != nil {
		return fmt.Errorf("tensor %q: %w", t.Name, err)
	}
	if len(t.Data) == 0 {
		return fmt.Errorf("tensor %q: data is missing", t.Name)
	}
	n, err := t.eachElement(func(tok json.Token) error { return checkElement(tok, dt.kind, dt.bits) })
	if err != nil {
		return fmt.Errorf("tensor %q: %w", t.Name, err)
	}
	if n != want {
		return fmt.Errorf("tensor %q: shape %v wants %d elements, data has %d", t.Name, t.Shape, want, n)
	}
	return nil
}

// Strings returns the elements of a BYTES tensor.
func (t *Tensor) Strings() ([]string, error) {
	if t.Datatype != "BYTES" {
		return nil, fmt.Errorf("tensor %q has datatype %s, want BYTES", t.Name, t.Datatype)
	}
	var out []string
	_, err := t.eachElement(func(tok json.Token) error {
		s, ok := tok.(string)
		if !ok {
			return errors.New("a BYTES element is not a string")
		}
		out = append(out, s)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("tensor %q: %w", t.Name, err)
	}
	return out, nil
}

// eachElement calls f for every element of the data, nested or flat, and returns their number.
func (t *Tensor) eachElement(f func(json.Token) error) (int64, error) {
	dec := json.NewDecoder(bytes.NewReader(t.Data))
	dec.UseNumber()
	depth, n := 0, int64(0)
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return n, fmt.Errorf("data is malformed: %w", err)
		}
		switch tok {
		case json.Delim('['):
			if depth++; depth > len(t.Shape)+1 {
				return n, errors.New("data is nested deeper than its shape")
			}
		case json.Delim(']'):
			depth--
		case json.Delim('{'), json.Delim('}'):
			return n, errors.New("data holds an object")
		default:
			if depth == 0 {
				return n, errors.New("data is not a list")
			}
			if err := f(tok); err != nil {
				return n, err
			}
			n++
		}
	}
	return n, nil
}

// checkElement verifies that a JSON value is an element of the given kind and size.
func checkElement(tok json.Token, k elementKind, bits int) error {
	switch k {
	case kindBool:
		if _, ok := tok.(bool); ok {
			return nil
		}
	case kindBytes:
		if _, ok := tok.(string); ok {
			return nil
		}
	default:
		v, ok := tok.(json.Number)
		if !ok {
			break
		}
		var err error
		switch k {
		case kindInt:
			_, err = strconv.ParseInt(v.String(), 10, bits)
		case kindUint:
			_, err = strconv.ParseUint(v.String(), 10, bits)
		default:
			_, err = v.Float64()
		}
		if err != nil {
			return fmt.Errorf("element %s does not fit the datatype", v)
		}
		return nil
	}
	return fmt.Errorf("element %v does not fit the datatype", tok)
}

// ErrTrailingData is returned by Decode if further data follows the JSON value.
var ErrTrailingData = errors.New("more than one JSON value")

// Decode reads exactly one JSON value from r into v. Further data after it is an error.
func Decode(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.UseNumber()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		if err != nil {
			return err
		}
		return ErrTrailingData
	}
	return nil
}

// TextTensor returns a BYTES tensor with the given strings as its elements.
func TextTensor(name string, texts ...string) Tensor {
	data, err := json.Marshal(texts)
	if err != nil { // a slice of strings always encodes
		panic(err)
	}
	return Tensor{Name: name, Shape: []int64{int64(len(texts))}, Datatype: "BYTES", Data: data}
}
