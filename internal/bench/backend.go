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

// announcementTTLMillis is how long an announcement is valid unless it is renewed, in
// milliseconds.
const announcementTTLMillis = 3000

// BackendArguments is the command line of an emulated backend server.
type BackendArguments struct {
	// Listen is the address to listen on.
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port to listen on"`
	// Local is the local address of the instance to announce the backend server to.
	// If it is empty, nothing is announced.
	Local string `arg:"--local" help:"local address of the instance to announce to [default: do not announce]"`
	// ID is the announced id of the backend server.
	ID string `arg:"--id" default:"b1" help:"id of the backend server"`
	// Service is the announced service.
	Service string `arg:"--service" default:"catalogue" help:"service to announce"`
	// Slots is the number of requests that run concurrently; further requests are
	// shed.
	Slots int `arg:"--slots" default:"8" help:"number of concurrent requests"`
	// ServiceTime is the mean service time.
	ServiceTime time.Duration `arg:"--service-time" default:"5ms" help:"mean service time of a request"`
	// ColdStart is the time after the start during which requests take coldFactor times
	// as long.
	ColdStart time.Duration `arg:"--cold-start" help:"time after the start during which requests take four times as long"`
	// ColdRate is the rate that the backend server tolerates for ColdStart after a crash.
	ColdRate float64 `arg:"--cold-rate" help:"requests per second that are tolerated after a crash, and announced remaining cold time [default: any]"`
	// IgnoreCancel makes the backend server finish requests that were canceled.
	IgnoreCancel bool `arg:"--ignore-cancel" help:"finish requests that their caller canceled"`
}

// coldFactor multiplies the service time during the cold start.
const coldFactor = 4

// RunBackend runs an emulated backend server until the process gets SIGTERM or SIGINT.
func RunBackend(arguments BackendArguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := emulator.New(emulator.Config{
		Service:      arguments.Service,
		Slots:        arguments.Slots,
		ServiceTime:  arguments.ServiceTime,
		ColdStart:    arguments.ColdStart,
		ColdFactor:   coldFactor,
		ColdRate:     arguments.ColdRate,
		IgnoreCancel: arguments.IgnoreCancel,
	})
	address, err := server.Listen(ctx, arguments.Listen)
	if err != nil {
		return err
	}
	fmt.Println("backend server listening on", address)
	if arguments.Local == "" {
		<-ctx.Done()
		return nil
	}
	announcer := &emulator.Announcer{LocalAddress: arguments.Local, ID: arguments.ID, ProcessStart: server.ProcessStart, Down: server.Down, Announcement: backendproxy.Announcement{
		Service:        fleetconfig.ServiceName(arguments.Service),
		Address:        address,
		Slots:          uint32(arguments.Slots),
		State:          backendproxy.StateReady,
		LifetimeMillis: announcementTTLMillis,
	}}
	if arguments.ColdRate > 0 {
		announcer.ColdRemaining = server.ColdRemaining
	}
	announcer.Run(ctx)
	return nil
}
