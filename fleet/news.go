package fleet

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

var (
	errorSpace = errorx.NewNamespace("fleet")

	errUnreadable = errorSpace.NewType("unreadable")
)

// encodeNews encodes and compresses updates, because a configuration can be large and
// the links between instances slow.
func encodeNews(news *wire.GossipNews) []byte {
	raw, err := proto.Marshal(news)
	if err != nil || len(raw) == 0 {
		return nil
	}
	return s2.Encode(nil, raw)
}

// decodeNews decodes what encodeNews has encoded.
func decodeNews(data []byte) (*wire.GossipNews, error) {
	news := &wire.GossipNews{}
	if len(data) == 0 {
		return news, nil
	}
	raw, err := s2.Decode(nil, data)
	if err != nil {
		return news, errUnreadable.Wrap(err, "decompressing updates")
	}
	if err := proto.Unmarshal(raw, news); err != nil {
		return &wire.GossipNews{}, errUnreadable.Wrap(err, "decoding updates")
	}
	return news, nil
}
