package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

var newValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	rules := map[string]func(string) bool{
		"name": namePattern.MatchString,
		"hostport": func(s string) bool {
			_, err := netip.ParseAddrPort(s)
			return err == nil
		},
		"loopback": func(s string) bool {
			addr, err := netip.ParseAddrPort(s)
			return err == nil && addr.Addr().Unmap().IsLoopback()
		},
	}
	limits := map[string]func(value, limit time.Duration) bool{
		"atleast": func(value, limit time.Duration) bool { return value >= limit },
		"atmost":  func(value, limit time.Duration) bool { return value <= limit },
	}
	for tag, valid := range limits {
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool {
			limit, err := time.ParseDuration(f.Param())
			return err == nil && valid(time.Duration(f.Field().Int()), limit)
		})
	}
	for tag, valid := range rules {
		// Registration fails only for an empty tag or a nil function.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
	}
	return v
})

var remedies = map[string]string{
	"required": "set it",
	"name":     "use 1 to 63 lower-case letters, digits, dots and hyphens",
	"hostport": "write IP:port",
	"loopback": "write a loopback address such as 127.0.0.1:7002; servers on other hosts must not announce themselves here",
	"url":      "write a URL such as http://10.0.0.1:9000",
	"min":      "use at least %s",
	"max":      "use at most %s",
	"gtefield": "use at least the value of %s",
	"atleast":  "use at least %s",
	"atmost":   "use at most %s",
	"oneof":    "use one of: %s",
}

// validate returns one line with position, key, value and remedy for each setting
// that is invalid by itself or in combination with others.
func (s Settings) validate(text []byte) []string {
	lines := describeErrors(newValidator().Struct(s), text)
	if s.Store.Table == "" && len(s.Seeds) == 0 && !s.Node.First {
		lines = append(lines, position(text, "node.first", "seeds", "store.table", "node.id")+
			"node: there is neither store.table nor seeds nor node.first, so the node can never join; set one of them")
	}
	return lines
}

func describeErrors(err error, text []byte) []string {
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return []string{err.Error()}
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		remedy := remedies[f.Tag()]
		if strings.Contains(remedy, "%s") {
			remedy = fmt.Sprintf(remedy, f.Param())
		}
		lines = append(lines, fmt.Sprintf("%s%s: %q is not allowed; %s", position(text, key), key, fmt.Sprint(f.Value()), remedy))
	}
	return lines
}

// position returns "[line:column] " for the first of the keys that is set, or an
// empty string if none is.
func position(text []byte, keys ...string) string {
	for _, key := range keys {
		path, err := yaml.PathString("$." + key)
		if err != nil {
			continue
		}
		if found, err := path.ReadNode(bytes.NewReader(text)); err == nil && found != nil {
			at := found.GetToken().Position
			return fmt.Sprintf("[%d:%d] ", at.Line, at.Column)
		}
	}
	return ""
}
