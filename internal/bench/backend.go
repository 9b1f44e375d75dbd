package bench

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// announcementTTLMillis is the lifetime that emulated backend servers announce.
const announcementTTLMillis = 3000

// BackendArguments is the command line of an emulated backend server.
type BackendArguments struct {
	// Listen is where it listens.
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"IP number and port to listen on"`
	// Local is the local address of the instance beside it; empty announces to
	// nobody.
	Local string `arg:"--local" help:"local address of the instance to announce to"`
	// ID names the backend server.
	ID string `arg:"--id" default:"b1" help:"name of the backend server"`
	// Service is what it serves.
	Service string `arg:"--service" default:"catalogue" help:"service that it serves"`
	// Slots is how many requests it runs at once.
	Slots int `arg:"--slots" default:"8" help:"requests that it runs at once"`
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration `arg:"--service-time" default:"5ms" help:"mean time of a request"`
	// ColdStart is how long requests take longer after the start.
	ColdStart time.Duration `arg:"--cold-start" help:"how long requests take four times as long after the start"`
	// IgnoreCancel makes it finish requests whose caller has gone.
	IgnoreCancel bool `arg:"--ignore-cancel" help:"finish requests whose caller has gone"`
}

// coldFactor multiplies the service time during the cold start.
const coldFactor = 4

// RunBackend serves as an emulated backend server until a signal ends it.
func RunBackend(arguments BackendArguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := emulator.New(emulator.Config{
		Service:      arguments.Service,
		Slots:        arguments.Slots,
		ServiceTime:  arguments.ServiceTime,
		ColdStart:    arguments.ColdStart,
		ColdFactor:   coldFactor,
		IgnoreCancel: arguments.IgnoreCancel,
	})
	address, err := server.Listen(ctx, arguments.Listen)
	if err != nil {
		return err
	}
	fmt.Println("backend server listens on", address)
	if arguments.Local == "" {
		<-ctx.Done()
		return nil
	}
	announcer := &emulator.Announcer{LocalAddress: arguments.Local, ID: arguments.ID, Announcement: backendproxy.Announcement{
		Service:        fleetconfig.ServiceName(arguments.Service),
		Address:        address,
		Slots:          uint32(arguments.Slots),
		State:          backendproxy.StateReady,
		LifetimeMillis: announcementTTLMillis,
	}}
	announcer.Run(ctx)
	return nil
}
