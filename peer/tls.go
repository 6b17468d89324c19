package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"

	"github.com/bulrushferry/bulrushferry/wire"
)

// protocolName is the ALPN protocol that both ends must support.
const protocolName = "bulrushferry-peer-1"

// LoadTLS reads the certificate, the key and the certificate authority that the
// settings name. Relative file names are resolved against dir.
func LoadTLS(dir string, settings *wire.TlsSettings) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(
		resolvePath(dir, settings.GetCertificateFile()),
		resolvePath(dir, settings.GetKeyFile()),
	)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "loading the certificate")
	}
	pem, err := os.ReadFile(resolvePath(dir, settings.GetAuthorityFile()))
	if err != nil {
		return nil, ErrTLS.Wrap(err, "reading the authority's certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, ErrTLS.New("%s holds no certificate", settings.GetAuthorityFile())
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocolName},
	}, nil
}

func resolvePath(dir, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(dir, name)
}

// verifyPeerAddress checks that a peer's certificate names the IP address that the
// peer connects from.
func verifyPeerAddress(state tls.ConnectionState, remote net.Addr) error {
	udp, ok := remote.(*net.UDPAddr)
	if !ok || len(state.PeerCertificates) == 0 {
		return ErrTLS.New("peer %s has no certificate", remote)
	}
	for _, ip := range state.PeerCertificates[0].IPAddresses {
		if ip.Equal(udp.IP) {
			return nil
		}
	}
	return ErrTLS.New("certificate of peer %s does not name its address", remote)
}
