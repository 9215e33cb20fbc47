// Package lifecycle follows the signals that a supervisor sends to a process.
//
//	SIGTERM, SIGINT   stop: finish the requests in progress and exit; repeated ones
//	                  change nothing
//	SIGHUP            read the settings again; ignored while the process stops
//	SIGPIPE           ignored: a log that nobody reads any more ends no process
//
// All other signals keep their default action. SIGKILL and SIGQUIT end the process at
// once.
package lifecycle

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals of the process. They are caught from New until the process
// exits, so that none of them gets its default action back while the process drains.
type Signals struct{ stop, reload chan os.Signal }

// New catches signals. They are handled once Context is called.
func New() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Context returns a context that ends when the process has to stop. Until then reload
// is called for each SIGHUP; an error that it returns is logged.
func (s *Signals) Context(log *slog.Logger, reload func() error) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case sig := <-s.stop:
				log.Info("signal to stop", "signal", sig.String(), "repeated", ctx.Err() != nil)
				cancel()
			case <-s.reload:
				s.reloadOnce(ctx, log, reload)
			}
		}
	}()
	return ctx
}

func (s *Signals) reloadOnce(ctx context.Context, log *slog.Logger, reload func() error) {
	if ctx.Err() != nil {
		log.Info("settings not read again: the process is stopping")
		return
	}
	if err := reload(); err != nil {
		log.Error("settings could not be read again; the old ones stay in use", "error", err.Error())
		return
	}
	log.Info("settings read again")
}
