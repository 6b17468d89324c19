package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"

	"github.com/bulrushferry/bulrushferry/wire"
)

// protocolName is the application protocol that both ends must speak.
const protocolName = "bulrushferry-peer-1"

// LoadTLS reads the certificate, key and authority named by the settings.
// Relative names count from a folder.
func LoadTLS(folder string, settings *wire.TlsSettings) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(
		resolve(folder, settings.GetCertificateFile()),
		resolve(folder, settings.GetKeyFile()),
	)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "loading the certificate")
	}
	pem, err := os.ReadFile(resolve(folder, settings.GetAuthorityFile()))
	if err != nil {
		return nil, ErrTLS.Wrap(err, "reading the authority's certificate")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, ErrTLS.New("%s holds no certificate", settings.GetAuthorityFile())
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocolName},
	}, nil
}

func resolve(folder, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(folder, name)
}

// checkAddress demands that a peer's certificate names the address that the
// peer speaks from.
func checkAddress(state tls.ConnectionState, remote net.Addr) error {
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
