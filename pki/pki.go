// Package pki creates and reads the files of a fleet's certificate authority: the
// authority itself, one certificate for each instance, and the key that encrypts membership
// datagrams.
//
// Instances authenticate each other by their certificates. A peer whose certificate was
// not issued by the fleet's authority is rejected. Fleets that trust their network
// (settings.TrustNetwork) use no certificates between instances.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the files in the authority's folder.
const (
	AuthorityCertificateFile = "ca.crt"
	AuthorityKeyFile         = "ca.key"
	GossipKeyFile            = "gossip.key"
	certificateSuffix        = ".crt"
	keySuffix                = ".key"
)

const (
	authorityLifetime   = 10 * 365 * 24 * time.Hour
	certificateLifetime = 365 * 24 * time.Hour
	// clockSkewTolerance is how long before its issue a certificate is valid, so that
	// instances whose clocks are slow accept it.
	clockSkewTolerance = 10 * time.Minute
	serialBits         = 120
	// GossipKeyBytes is the size of the key that encrypts datagrams with AES-256.
	GossipKeyBytes = 32

	folderMode     = 0o700
	secretFileMode = 0o600
	publicFileMode = 0o644
)

// Identity holds what an instance needs to authenticate itself and its peers.
type Identity struct {
	// Certificate is the instance's certificate with its private key.
	Certificate tls.Certificate
	// Authority holds the certificate that verifies the certificates of peers.
	Authority *x509.CertPool
}

// IssueRequest describes a certificate to issue.
type IssueRequest struct {
	// Name is the ID of the instance. It becomes the common name.
	Name string
	// Addresses are the IP addresses at which the instance is reached.
	Addresses []net.IP
	// HostNames are the host names that callers use, for a caller-facing certificate.
	HostNames []string
}

// InitAuthority creates a new authority and gossip key in folder. It returns an error if the
// folder already contains an authority.
func InitAuthority(folder string, now time.Time) error {
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return errors.Newf("%s already holds an authority; choose another folder, or move the existing authority elsewhere", folder)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the authority's folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate the authority's key")
	}
	template, err := newTemplate("hemlockring fleet CA", now, authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "sign the authority's certificate")
	}
	if err := writePair(folder, "ca", der, key); err != nil {
		return err
	}
	return writeGossipKey(folder)
}

// Issue creates a certificate signed by the authority in authorityFolder, and writes it to
// NAME.crt and its key to NAME.key in folder.
func Issue(authorityFolder, folder string, request IssueRequest, now time.Time) error {
	if request.Name == "" || strings.ContainsAny(request.Name, "/\\") {
		return errors.Newf("%q is not a valid instance ID; use letters, digits and hyphens", request.Name)
	}
	authority, err := tls.LoadX509KeyPair(
		filepath.Join(authorityFolder, AuthorityCertificateFile),
		filepath.Join(authorityFolder, AuthorityKeyFile),
	)
	if err != nil {
		return errors.Wrapf(err, "read the authority in %s; create one with 'hemlockctl ca init'", authorityFolder)
	}
	parent, err := x509.ParseCertificate(authority.Certificate[0])
	if err != nil {
		return errors.Wrap(err, "parse the authority's certificate")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate the instance's key")
	}
	template, err := newTemplate(request.Name, now, certificateLifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = request.Addresses
	template.DNSNames = request.HostNames
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, authority.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "sign the instance's certificate")
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the certificate's folder")
	}
	return writePair(folder, request.Name, der, key)
}

// LoadIdentity reads the certificate and key of an instance, and the certificate of the
// authority.
func LoadIdentity(certificateFile, keyFile, authorityFile string) (*Identity, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the instance's certificate; create one with 'hemlockctl ca issue'")
	}
	pool, err := LoadAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return &Identity{Certificate: certificate, Authority: pool}, nil
}

// LoadAuthority reads the certificate of an authority.
func LoadAuthority(authorityFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority's certificate; copy ca.crt from the folder of 'hemlockctl ca init'")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("%s contains no certificate; copy ca.crt again", authorityFile)
	}
	return pool, nil
}

// LoadGossipKey reads the key that encrypts membership datagrams.
func LoadGossipKey(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the gossip key; copy gossip.key from the folder of 'hemlockctl ca init'")
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != GossipKeyBytes {
		return nil, errors.Newf("%s does not contain a gossip key of %d bytes in hexadecimal digits; copy gossip.key again", file, GossipKeyBytes)
	}
	return key, nil
}

// StatelessResetKey derives the key for QUIC stateless resets from the instance's private
// key. It is the same after a restart of the instance, so that peers notice the restart at
// once.
func (i *Identity) StatelessResetKey() [sha256.Size]byte {
	der, err := x509.MarshalPKCS8PrivateKey(i.Certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(append([]byte("hemlockring stateless reset\x00"), der...))
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"hemlockring"}},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func writePair(folder, name string, der []byte, key *ecdsa.PrivateKey) error {
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(folder, name+certificateSuffix), certificate, publicFileMode); err != nil {
		return errors.Wrap(err, "write the certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode the private key")
	}
	secret := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return errors.Wrap(os.WriteFile(filepath.Join(folder, name+keySuffix), secret, secretFileMode), "write the private key")
}

func writeGossipKey(folder string) error {
	key := make([]byte, GossipKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return errors.Wrap(err, "generate the gossip key")
	}
	text := []byte(hex.EncodeToString(key) + "\n")
	return errors.Wrap(os.WriteFile(filepath.Join(folder, GossipKeyFile), text, secretFileMode), "write the gossip key")
}
