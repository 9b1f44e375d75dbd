package ctl

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// keyBytes is the length of a generated key before it is encoded in base64.
const keyBytes = 32

// generateKey returns a random API key. The error of rand.Read is always nil.
func generateKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

func (s *session) key(ctx context.Context, command *KeyCommand) error {
	document, err := s.client.Document(ctx)
	if err != nil {
		return err
	}
	switch {
	case command.Give != nil:
		return s.giveKey(ctx, document.Version, command.Give)
	case command.Withdraw != nil:
		return s.change(ctx, document.Version, []fleetconfig.Change{{Kind: fleetconfig.WithdrawKey, Name: command.Withdraw.Name}})
	}
	return printList(s, document.Keys, func(k *fleetconfig.Key) string {
		return fmt.Sprintf("%s\taccount %s\t%s", k.Hash.ID(), k.Account, k.Label)
	})
}

// giveKey generates a key, sends its hash and prints the key. It prints the key also if
// the outcome of the change is unknown, because the key may have become valid.
func (s *session) giveKey(ctx context.Context, base uint64, command *KeyGiveCommand) error {
	key := generateKey()
	hash := fleetconfig.HashKey(key)
	err := s.change(ctx, base, []fleetconfig.Change{{Kind: fleetconfig.GiveKey, Key: &fleetconfig.Key{
		Hash:    hash,
		Account: fleetconfig.AccountID(command.Account),
		Label:   command.Label,
	}}})
	var unknown *client.OutcomeUnknownError
	if errors.As(err, &unknown) {
		_, _ = fmt.Fprintf(s.stderr, "key %s may be valid; check with key list, and remove an unwanted key with key withdraw\n", hash.ID())
	}
	if err != nil && !errors.As(err, &unknown) {
		return err
	}
	s.printf("key id %s\nkey %s\n", hash.ID(), key)
	return err
}
