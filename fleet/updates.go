package fleet

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

// maxUpdateBytes limits what a peer's updates may take after decompression. It is well
// above the size of the tables of a large deployment.
const maxUpdateBytes = 256 << 20

var (
	errorSpace = errorx.NewNamespace("fleet")

	errUnreadable = errorSpace.NewType("unreadable")
)

// encodeUpdates encodes and compresses updates, because a configuration can be large and
// the links between instances slow.
func encodeUpdates(updates *wire.GossipNews) []byte {
	raw, err := proto.Marshal(updates)
	if err != nil || len(raw) == 0 {
		return nil
	}
	return s2.Encode(nil, raw)
}

// decodeUpdates reverses encodeUpdates.
func decodeUpdates(data []byte) (*wire.GossipNews, error) {
	updates := &wire.GossipNews{}
	if len(data) == 0 {
		return updates, nil
	}
	if length, err := s2.DecodedLen(data); err != nil || length > maxUpdateBytes {
		return updates, errUnreadable.New("updates of %d bytes after decompression", length)
	}
	raw, err := s2.Decode(nil, data)
	if err != nil {
		return updates, errUnreadable.Wrap(err, "decompressing updates")
	}
	if err := proto.Unmarshal(raw, updates); err != nil {
		return &wire.GossipNews{}, errUnreadable.Wrap(err, "decoding updates")
	}
	return updates, nil
}
