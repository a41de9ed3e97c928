// Package settings parses and validates the YAML settings file of a node.
package settings

import (
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Settings are the static settings of a node, read once at start. The reference page
// is generated from the usage tags.
type Settings struct {
	Node   Node     `yaml:"node" usage:"who and where this node is"`
	Listen Listen   `yaml:"listen" usage:"addresses to listen on, IP:port"`
	TLS    TLS      `yaml:"tls" usage:"PEM files for connections between nodes; create them with 'vanillasail keys'"`
	Secret string   `yaml:"secret" validate:"required,min=16" usage:"cluster secret that seals membership datagrams, at least 16 characters"`
	Seeds  []string `yaml:"seeds" validate:"dive,hostport" usage:"peer addresses of other nodes, used to join when the table is down"`
	Store  Store    `yaml:"store" usage:"the platform's table service and object store"`
	Tokens Tokens   `yaml:"tokens" usage:"who may operate the system"`
	Body   Size     `yaml:"body" validate:"min=1024,max=1073741824" usage:"largest request body, 1KB to 1GB"`
	Bodies Size     `yaml:"bodies" validate:"gtefield=Body,max=17179869184" usage:"largest sum of the request bodies that the node holds at a time, up to 16GB; requests over it are refused"`
	Notice Duration `yaml:"notice" validate:"atleast=0s,atmost=30s" usage:"how long a stopping node goes on accepting requests"`
	Budget Budget   `yaml:"budget" usage:"limits of measuring traffic until a configuration sets them"`
	Memory Memory   `yaml:"memory" usage:"trade of the collector between memory and processor time"`
	Log    Log      `yaml:"log" usage:"log output"`
}

// Node identifies a node and its location.
type Node struct {
	ID     string `yaml:"id" validate:"required,name" usage:"unique in the cluster; stays the same when the host is replaced"`
	Region string `yaml:"region" validate:"required,name" usage:"region of the host"`
	Domain string `yaml:"domain" validate:"required,name" usage:"failure domain of the host, unique in its region"`
	First  bool   `yaml:"first" usage:"start a new cluster without waiting for the table or another node; needed without store.table and seeds"`
}

// Listen holds the addresses that a node listens on.
type Listen struct {
	Caller    string `yaml:"caller" validate:"required,hostport" usage:"HTTP for callers"`
	Peer      string `yaml:"peer" validate:"required,hostport" usage:"UDP for other nodes"`
	Announce  string `yaml:"announce" validate:"required,hostport,loopback" usage:"HTTP for the backend server beside the node, on a loopback address"`
	Operator  string `yaml:"operator" validate:"required,hostport" usage:"HTTP for operators and for scraping metrics"`
	Advertise string `yaml:"advertise" validate:"omitempty,hostport" usage:"peer address that other nodes use, when it differs from listen.peer"`
}

// TLS holds the paths of the PEM files for connections between nodes.
type TLS struct {
	Cert string `yaml:"cert" validate:"required" usage:"certificate of this node"`
	Key  string `yaml:"key" validate:"required" usage:"private key of this node"`
	CA   string `yaml:"ca" validate:"required" usage:"trusted authorities; list two during a rotation"`
}

// Store holds the URLs of the platform's table service and object store.
type Store struct {
	Table   string   `yaml:"table" validate:"omitempty,url" usage:"URL of the table service"`
	Object  string   `yaml:"object" validate:"omitempty,url" usage:"URL of the object store"`
	Timeout Duration `yaml:"timeout" validate:"atleast=100ms,atmost=30s" usage:"longest wait for one reply"`
}

// Tokens configures the authentication of operators.
type Tokens struct {
	Secret string `yaml:"secret" validate:"omitempty,min=32" usage:"HMAC key of operator tokens, at least 32 characters; empty refuses every operator"`
}

// Budget limits measuring traffic.
type Budget struct {
	Server Rate `yaml:"server" usage:"for each backend server"`
	Link   Rate `yaml:"link" usage:"for each ordered pair of regions, for this node"`
}

// Rate is a rate limit in messages and bytes per second.
type Rate struct {
	Messages int64 `yaml:"messages" validate:"min=0" usage:"messages a second"`
	Bytes    Size  `yaml:"bytes" validate:"min=0" usage:"bytes a second"`
}

// Memory configures the garbage collector of the process.
type Memory struct {
	Growth int `yaml:"growth" validate:"min=5,max=400" usage:"least percent by which the heap may grow between two collections, 5 to 400; it grows more while the collector takes over 25 % of a core"`
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error" usage:"lowest level that is logged: debug, info, warn or error"`
}

// Default returns the default settings. They apply to every key that is not set.
func Default() Settings {
	return Settings{
		Store:  Store{Timeout: Duration(2 * time.Second)},
		Body:   8 << 20,
		Bodies: 256 << 20,
		Notice: Duration(2 * time.Second),
		Budget: Budget{
			Server: Rate{Messages: 20, Bytes: 4 << 10},
			Link:   Rate{Messages: 20, Bytes: 1 << 10},
		},
		Memory: Memory{Growth: 10},
		Log:    Log{Level: "info"},
	}
}

// Parse decodes and validates settings. Its errors give line, column and remedy.
func Parse(text []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return Settings{}, invalid(yaml.FormatError(err, false, true))
	}
	if lines := s.validate(text); len(lines) > 0 {
		return Settings{}, invalid(strings.Join(lines, "\n"))
	}
	return s, nil
}

func invalid(detail string) error {
	return eris.Errorf("settings are not valid:\n%s\ndocs/settings.md lists every key with its unit and range", detail)
}
