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

const certificateLife = 30 * 24 * time.Hour

// writeCerts makes an authority and one certificate for every name=address.
func writeCerts(folder string, names []string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	authority := template("bulrushferry test authority")
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(folder, "authority.pem"), "CERTIFICATE", raw); err != nil {
		return err
	}
	for _, pair := range names {
		name, address, ok := strings.Cut(pair, "=")
		ip := net.ParseIP(address)
		if !ok || ip == nil {
			return fmt.Errorf("%q is not a name=address", pair)
		}
		if err := writeCert(folder, name, ip, authority, authorityKey); err != nil {
			return err
		}
	}
	return nil
}

func writeCert(folder, name string, ip net.IP, authority *x509.Certificate, authorityKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	certificate := template(name)
	certificate.IPAddresses = []net.IP{ip}
	certificate.KeyUsage = x509.KeyUsageDigitalSignature
	certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, certificate, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(folder, name+".pem"), "CERTIFICATE", raw); err != nil {
		return err
	}
	keyRaw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, name+".key"), "PRIVATE KEY", keyRaw)
}

func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 100))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLife),
	}
}

func writePEM(path, kind string, raw []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
