package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const certLifetime = 30 * 24 * time.Hour

// writeCerts writes a certificate authority's certificate, and a certificate and a key for
// each of the given pairs of the form name=IP.
func writeCerts(dir string, namesAndIPs []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	ca := newCertTemplate("bulrushferry test authority")
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, "authority.pem"), "CERTIFICATE", raw); err != nil {
		return err
	}
	for _, pair := range namesAndIPs {
		name, address, ok := strings.Cut(pair, "=")
		ip := net.ParseIP(address)
		if !ok || ip == nil {
			return fmt.Errorf("%q is not of the form name=IP", pair)
		}
		if err := writeCert(dir, name, ip, ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

func writeCert(dir, name string, ip net.IP, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	certificate := newCertTemplate(name)
	certificate.IPAddresses = []net.IP{ip}
	certificate.KeyUsage = x509.KeyUsageDigitalSignature
	certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, certificate, ca, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", raw); err != nil {
		return err
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".key"), "PRIVATE KEY", rawKey)
}

func newCertTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 100))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLifetime),
	}
}

func writePEM(path, kind string, raw []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
