package fleet

import (
	"net/netip"

	"github.com/bulrushferry/bulrushferry/wire"
	"google.golang.org/protobuf/proto"
)

// DecodeEntry decodes the value of a row of the platform's list of instances, or says what is
// wrong with it.
func DecodeEntry(value []byte) (info *wire.FleetInstance, problem string) {
	info = &wire.FleetInstance{}
	if proto.Unmarshal(value, info) != nil || !isPeerAddress(info.GetPeerAddress()) {
		return nil, "value: not the entry of an instance with an address"
	}
	return info, ""
}

// isPeerAddress reports whether a text is an address that a peer can be reached at.
func isPeerAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && address.Addr().Is4() && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
