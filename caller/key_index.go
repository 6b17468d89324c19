package caller

import (
	"bytes"
	"crypto/sha256"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
)

type (
	// KeyHash is the SHA-256 hash of a workspace's key. Only the hash is stored.
	KeyHash [sha256.Size]byte

	// keySnapshot is the index of the keys in one state.
	keySnapshot struct {
		state *wire.State
		keys  map[KeyHash]*wire.Key
	}

	// KeyIndex looks up workspaces by key hash. It caches the index of the latest state.
	// It is safe for concurrent use.
	KeyIndex struct {
		current atomic.Pointer[keySnapshot]
	}
)

const bearerPrefix = "Bearer "

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash {
	return sha256.Sum256(key)
}

// workspace returns the workspace of a key, if the state contains the key and it has not
// been withdrawn.
func (k *KeyIndex) workspace(state *wire.State, hash KeyHash) (string, bool) {
	key, ok := k.snapshot(state).keys[hash]
	if !ok || key.GetWithdrawn() {
		return "", false
	}
	return key.GetWorkspace(), true
}

// contains reports whether the state contains a key with this hash, withdrawn or not.
func (k *KeyIndex) contains(state *wire.State, hash KeyHash) bool {
	_, ok := k.snapshot(state).keys[hash]
	return ok
}

// snapshot returns the index of a state. It builds a new one if another state is cached.
func (k *KeyIndex) snapshot(state *wire.State) *keySnapshot {
	current := k.current.Load()
	if current != nil && current.state == state {
		return current
	}
	next := &keySnapshot{state: state, keys: make(map[KeyHash]*wire.Key, len(state.GetKeys()))}
	for _, key := range state.GetKeys() {
		var hash KeyHash
		copy(hash[:], key.GetHash())
		next.keys[hash] = key
	}
	k.current.Store(next)
	return next
}

// bearerToken returns the key from the Authorization header and the number of such
// headers. The key is nil if there is not exactly one, or if it is not a bearer token.
func bearerToken(header *fasthttp.RequestHeader) (key []byte, count int) {
	values := header.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return nil, len(values)
	}
	key, ok := bytes.CutPrefix(values[0], []byte(bearerPrefix))
	if !ok {
		return nil, 1
	}
	return bytes.TrimSpace(key), 1
}

// keyOutsideAuthorization reports whether a request contains its key in the body, the URI
// or a header other than Authorization, from where backend servers could read it.
func keyOutsideAuthorization(request *fasthttp.Request, key []byte) bool {
	if len(key) == 0 {
		return false
	}
	if bytes.Contains(request.Body(), key) || bytes.Contains(request.RequestURI(), key) {
		return true
	}
	if unescaped, err := url.QueryUnescape(string(request.RequestURI())); err == nil && strings.Contains(unescaped, string(key)) {
		return true
	}
	for name, value := range request.Header.AllInOrder() {
		if !strings.EqualFold(string(name), fasthttp.HeaderAuthorization) && bytes.Contains(value, key) {
			return true
		}
	}
	return false
}

// hasKnownKeyValue reports whether the value of a query parameter or a cookie is a key
// in the state, withdrawn or not.
func (k *KeyIndex) hasKnownKeyValue(state *wire.State, request *fasthttp.Request) bool {
	for _, value := range request.URI().QueryArgs().All() {
		if k.contains(state, HashKey(value)) {
			return true
		}
	}
	cookies := parseCookies(request)
	for _, value := range cookies.Cookies() {
		if k.contains(state, HashKey(value)) {
			return true
		}
	}
	return false
}

// parseCookies parses the cookies of a request into a header of their own, because
// fasthttp writes fields that it has parsed with other bytes.
func parseCookies(request *fasthttp.Request) *fasthttp.RequestHeader {
	cookies := &fasthttp.RequestHeader{}
	for name, value := range request.Header.AllInOrder() {
		if string(name) == fasthttp.HeaderCookie {
			cookies.SetBytesV(fasthttp.HeaderCookie, value)
		}
	}
	return cookies
}
