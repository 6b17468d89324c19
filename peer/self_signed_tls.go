package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"
)

const certificateValidity = 365 * 24 * time.Hour

// NewSelfSignedTLS returns a TLS configuration with a new self-signed certificate
// for the given peer address. Connections are encrypted and the certificate names
// the address, but peers are not authenticated: the platform issues no keys that
// could prove that a peer belongs to the fleet.
func NewSelfSignedTLS(address string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "reading peer address %s", address)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "making a key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: host},
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
		IPAddresses:  []net.IP{net.ParseIP(host)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "making a certificate")
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // #nosec G402 -- see the function's comment
		NextProtos:         []string{protocolName},
	}, nil
}
