package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Role is the set of commands that an operator may run.
type Role string

// Roles of operators. A viewer may only run queries and dry runs.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
)

// Identity is the operator that a verified token was issued to.
type Identity struct {
	Name string
	Role Role
}

const (
	// clockLeeway allows for clock skew between hosts and for jumps of the clock.
	clockLeeway = time.Minute
	// minSecret is the minimum size of an HS256 secret in bytes: that of the
	// digest (RFC 7518, section 3.2).
	minSecret = 32

	algorithmHMAC  = "HS256"
	algorithmEdDSA = "EdDSA"
)

// Key signs or verifies tokens. Its ID is the "kid" header of the tokens. Removing
// a key from the settings revokes all tokens that it signed.
type Key struct {
	ID        string
	algorithm string
	verify    any
	// sign is nil for a public key, which can only verify.
	sign any
}

// ParseKey decodes a key from base64: an HS256 secret of at least 32 bytes, or an
// EdDSA public key (32 bytes) or private key (64 bytes).
func ParseKey(id, algorithm, encoded string) (Key, error) {
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || id == "" {
		return Key{}, fault.New(fault.KindBadRequest, "token key %q: no ID or no base64 text", id).WithRemedy("make a key with keys")
	}
	key := Key{ID: id, algorithm: algorithm}
	switch {
	case algorithm == algorithmHMAC:
		return SecretKey(id, raw)
	case algorithm == algorithmEdDSA && len(raw) == ed25519.PublicKeySize:
		key.verify = ed25519.PublicKey(raw)
	case algorithm == algorithmEdDSA && len(raw) == ed25519.PrivateKeySize:
		private := ed25519.PrivateKey(raw)
		key.sign, key.verify = private, private.Public()
	default:
		return Key{}, fault.New(fault.KindBadRequest, "token key %q: %d bytes do not fit algorithm %q", id, len(raw), algorithm).
			WithRemedy("use HS256, or EdDSA with 32 bytes (public) or 64 (private)")
	}
	return key, nil
}

// SecretKey returns an HS256 key. The secret must have at least 32 bytes.
func SecretKey(id string, secret []byte) (Key, error) {
	if len(secret) < minSecret {
		return Key{}, fault.New(fault.KindBadRequest, "token key %q has %d bytes", id, len(secret)).
			WithRemedy("use at least 32 bytes")
	}
	return Key{ID: id, algorithm: algorithmHMAC, sign: secret, verify: secret}, nil
}

// GenerateKey returns a new key pair in the encoding of ParseKey. For HS256 both
// keys are the same secret.
func GenerateKey(algorithm string) (sign, verify string, err error) {
	encode := base64.StdEncoding.EncodeToString
	switch algorithm {
	case algorithmHMAC:
		secret := make([]byte, minSecret)
		_, _ = rand.Read(secret) // never fails
		return encode(secret), encode(secret), nil
	case algorithmEdDSA:
		public, private, err := ed25519.GenerateKey(nil)
		return encode(private), encode(public), err
	default:
		return "", "", fault.New(fault.KindBadRequest, "token algorithm %q is not supported", algorithm).WithRemedy("use HS256 or EdDSA")
	}
}

type claims struct {
	Role Role `json:"role"`
	jwt.RegisteredClaims
}

// Sign returns a token for the operator that expires after the validity.
func (k Key) Sign(identity Identity, now time.Time, validity time.Duration) (string, error) {
	if k.sign == nil {
		return "", fault.New(fault.KindBadRequest, "token key %q is public", k.ID).WithRemedy("sign with the private key")
	}
	if identity.Name == "" || !identity.Role.valid() {
		return "", fault.New(fault.KindBadRequest, "no token can be issued for %q with role %q", identity.Name, identity.Role).
			WithRemedy("name the operator and the role viewer or operator")
	}
	token := jwt.NewWithClaims(jwt.GetSigningMethod(k.algorithm), claims{
		Role: identity.Role,
		RegisteredClaims: jwt.RegisteredClaims{
			Subject:   identity.Name,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(validity)),
		},
	})
	token.Header["kid"] = k.ID
	signed, err := token.SignedString(k.sign)
	if err != nil {
		return "", fault.New(fault.KindInternal, "sign token: %v", err)
	}
	return signed, nil
}

// Keys are the trusted keys of a node.
type Keys []Key

// Verify checks the signature and the expiry of the token and returns its operator.
func (ks Keys) Verify(token string, now time.Time) (Identity, error) {
	var c claims
	_, err := jwt.ParseWithClaims(token, &c, ks.findKey,
		jwt.WithValidMethods([]string{algorithmHMAC, algorithmEdDSA}),
		jwt.WithExpirationRequired(), jwt.WithLeeway(clockLeeway),
		jwt.WithTimeFunc(func() time.Time { return now }))
	if err == nil && (c.Subject == "" || !c.Role.valid()) {
		err = fault.New(fault.KindForbidden, "no subject, or unknown role %q", c.Role)
	}
	if err != nil {
		return Identity{}, fault.New(fault.KindForbidden, "token: %v", err).WithRemedy("get a new token with keys")
	}
	return Identity{Name: c.Subject, Role: c.Role}, nil
}

// findKey returns the key with the token's "kid". The algorithm of the token must
// match that of the key; otherwise an attacker could sign an HS256 token with an
// EdDSA public key as the secret.
func (ks Keys) findKey(t *jwt.Token) (any, error) {
	for _, k := range ks {
		if k.ID == t.Header["kid"] && k.algorithm == t.Method.Alg() {
			return k.verify, nil
		}
	}
	return nil, fault.New(fault.KindForbidden, "unknown key %q for %s", t.Header["kid"], t.Method.Alg())
}

func (r Role) valid() bool { return r == RoleViewer || r == RoleOperator }
