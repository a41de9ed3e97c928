package config

import (
	"bytes"
	"errors"
	"io"

	"github.com/goccy/go-yaml"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// MaxBody is the size limit of a document's YAML text in bytes.
const MaxBody = 1 << 20

// Decode decodes and validates the document of a new change. Unknown fields,
// duplicate fields and values out of range are errors that name the field.
func Decode(body []byte) (Document, error) {
	d, err := decode(body, yaml.Strict())
	if err != nil {
		return Document{}, err
	}
	return d, d.Validate()
}

// DecodeAccepted decodes a document that was accepted before. Unknown fields are
// ignored, because during an upgrade a node of an older release must still apply
// a document with newer fields.
func DecodeAccepted(body []byte) (Document, error) { return decode(body) }

func decode(body []byte, options ...yaml.DecodeOption) (Document, error) {
	if len(body) > MaxBody {
		return Document{}, fault.New(fault.KindTooLarge, "configuration of %d bytes is over the limit of %d", len(body), MaxBody).
			WithRemedy("remove unused services and servers")
	}
	var d Document
	err := yaml.NewDecoder(bytes.NewReader(body), options...).Decode(&d)
	if err != nil && !errors.Is(err, io.EOF) {
		return Document{}, fault.New(fault.KindBadRequest, "configuration: %s", firstErrorLine(err)).
			WithRemedy("correct or remove this field")
	}
	return d, nil
}

// Encode returns the YAML text with sorted keys.
func (d Document) Encode() ([]byte, error) {
	body, err := yaml.Marshal(d)
	if err != nil {
		return nil, fault.New(fault.KindInternal, "encode configuration: %v", err)
	}
	return body, nil
}

// firstErrorLine returns the first line of an error of the YAML library.
func firstErrorLine(err error) string {
	text := yaml.FormatError(err, false, false)
	line, _, _ := bytes.Cut([]byte(text), []byte("\n"))
	return string(line)
}
