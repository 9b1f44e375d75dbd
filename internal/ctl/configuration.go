package ctl

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/fleetconfig/inifile"
)

// maxChangesPerRequest keeps a change request below the size limit of an entry in the
// replicated log. A file with more changes is applied in batches, each of which is atomic.
// If a batch fails, running apply again makes the remaining changes.
const maxChangesPerRequest = 2000

// watchRetryDelay is the delay before a failed watch request is retried.
const watchRetryDelay = time.Second

func (s *session) status(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	if s.connection.JSON {
		return s.printJSON(status)
	}
	s.printf("version %d\npreset in force %s\ncurrent %v\naccounts %d\nkeys %d\nroutes %d\nservices %d\npresets %d\nholders %d\n",
		status.Version, status.PresetInForce, status.Current, status.Accounts, status.Keys, status.Routes,
		status.Services, status.Presets, status.Holders)
	for _, domain := range status.EvacuatedDomains {
		s.printf("evacuated failure domain %s\n", domain)
	}
	return nil
}

func (s *session) history(ctx context.Context) error {
	history, err := s.client.History(ctx)
	if err != nil {
		return err
	}
	return printList(s, history, func(e *fleetconfig.HistoryEntry) string {
		line := fmt.Sprintf("%d\t%s\t%s\t%s", e.Version, e.ProposedAt.Format(time.RFC3339), e.Operator, e.ChangeID)
		for _, summary := range e.Summary {
			line += "\n\t" + summary
		}
		if more := e.Changes - len(e.Summary); more > 0 {
			line += fmt.Sprintf("\n\tand %d more", more)
		}
		return line
	})
}

// fileChanges returns the current document and the changes that make it equal to a file.
func (s *session) fileChanges(ctx context.Context, name string) (*fleetconfig.Document, []fleetconfig.Change, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, &UsageError{Message: fmt.Sprintf("configuration file cannot be read: %v; check the path", err)}
	}
	parsed, err := inifile.Parse(name, data)
	if err != nil {
		return nil, nil, err
	}
	document, err := s.client.Document(ctx)
	if err != nil {
		return nil, nil, err
	}
	changes, err := parsed.Changes(document)
	return document, changes, err
}

func (s *session) apply(ctx context.Context, command *FileCommand) error {
	document, changes, err := s.fileChanges(ctx, command.File)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		s.printf("version %d agrees with the file; nothing to do\n", document.Version)
		return nil
	}
	base := document.Version
	for batch := range slices.Chunk(changes, maxChangesPerRequest) {
		if err := s.change(ctx, base, batch); err != nil {
			return err
		}
		base++
	}
	return nil
}

func (s *session) diff(ctx context.Context, command *FileCommand) error {
	_, changes, err := s.fileChanges(ctx, command.File)
	if err != nil || len(changes) == 0 {
		return err
	}
	if err := printList(s, changes, (*fleetconfig.Change).Summary); err != nil {
		return err
	}
	return errDiffers
}

// watch prints each new version until ctx is canceled.
func (s *session) watch(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	lastVersion := status.Version
	s.printf("version %d\tpreset %s\n", lastVersion, status.PresetInForce)
	for ctx.Err() == nil {
		status, err := s.client.Watch(ctx, lastVersion)
		if err != nil {
			s.reportAndWait(ctx, err)
			continue
		}
		if status.Version > lastVersion {
			lastVersion = status.Version
			s.printf("version %d\tpreset %s\n", lastVersion, status.PresetInForce)
		}
	}
	return nil
}

func (s *session) reportAndWait(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintln(s.stderr, "hemlockctl: "+err.Error())
	timer := time.NewTimer(watchRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
