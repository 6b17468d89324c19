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
	// KeyHash is the hash under which a key is stored.
	KeyHash [sha256.Size]byte

	// keySnapshot finds keys by hash. It is replaced whole with every state.
	keySnapshot struct {
		state *wire.State
		keys  map[KeyHash]*wire.Key
	}

	// KeyIndex finds the workspaces of keys. It is safe for concurrent use.
	KeyIndex struct {
		current atomic.Pointer[keySnapshot]
	}
)

const bearerPrefix = "Bearer "

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash {
	return sha256.Sum256(key)
}

// workspace returns the workspace of a key in a state, if the key is known and
// has not been withdrawn.
func (k *KeyIndex) workspace(state *wire.State, hash KeyHash) (string, bool) {
	key, ok := k.snapshot(state).keys[hash]
	if !ok || key.GetWithdrawn() {
		return "", false
	}
	return key.GetWorkspace(), true
}

// contains reports whether a hash belongs to a key, withdrawn or not.
func (k *KeyIndex) contains(state *wire.State, hash KeyHash) bool {
	_, ok := k.snapshot(state).keys[hash]
	return ok
}

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

// bearerToken returns the key in a request's Authorization header. The count tells
// how many such headers there are.
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

// keyOutsideAuthorization reports whether a key stands in a part of the request that
// would be passed on to a backend server.
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
	for name, value := range request.Header.All() {
		if !strings.EqualFold(string(name), fasthttp.HeaderAuthorization) && bytes.Contains(value, key) {
			return true
		}
	}
	return false
}

// hasKnownKeyValue reports whether some fleet key stands in the query or in a
// cookie as a whole value.
func (k *KeyIndex) hasKnownKeyValue(state *wire.State, request *fasthttp.Request) bool {
	for _, value := range request.URI().QueryArgs().All() {
		if k.contains(state, HashKey(value)) {
			return true
		}
	}
	for _, value := range request.Header.Cookies() {
		if k.contains(state, HashKey(value)) {
			return true
		}
	}
	return false
}
