// Package admin is the HTTP server of the admin address: metrics, health,
// readiness and status of the instance.
//
// # Usage
//
//	a := &admin.Service{Address: "127.0.0.1:8082", Ready: ready, Status: status}
package admin

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/wigeonlock/wigeonlock/kernel"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "admin"

	_timeout = 10 * time.Second
)

// Service serves the admin address. The exported fields are set before Start.
type Service struct {
	// Address is the address to listen on.
	Address string
	// Ready returns nil if the instance accepts callers, or the reason why not.
	Ready func() error
	// Status returns the status, which is encoded as JSON.
	Status func() any
	// Listen opens the listener, as net.Listen does.
	Listen func(network, address string) (net.Listener, error)

	app *fiber.App
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start listens on Address and fails if it cannot be opened.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	l, err := s.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listen for admin")
	}
	s.app = fiber.New(fiber.Config{ReadTimeout: _timeout, WriteTimeout: _timeout, IdleTimeout: _timeout})
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.readyz)
	s.app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(s.Status()) })
	s.app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
		metrics.WritePrometheus(c.Response().BodyWriter(), true)
		return nil
	})
	k.Go(ServiceName, func(context.Context) error {
		return s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// Stop closes the listener and waits for open requests until ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

func (s *Service) readyz(c fiber.Ctx) error {
	if err := s.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ok\n")
}
