package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/cockroachdb/errors"
)

// NetworkIdentity makes the identity of an instance in a fleet that trusts its
// network: a certificate that the instance signs itself and that lasts as long as
// its process. It carries the instance's id, which peers believe unproved.
func NetworkIdentity(name string, now time.Time) (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the instance's key")
	}
	template, err := newTemplate(name, now, certificateLifetime)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the instance's certificate")
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &Identity{Certificate: certificate, Authority: x509.NewCertPool(), TrustsNetwork: true}, nil
}

// NetworkGossipKey is the datagram key of fleets that trust their network. It
// keeps datagrams of other programs out and no secret.
func NetworkGossipKey() []byte {
	key := sha256.Sum256([]byte("hemlockring trusted network"))
	return key[:GossipKeyBytes]
}
