// Package crash keeps an unexpected error in one task from ending the process with
// all others.
package crash

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"sassafrastray/internal/operator/message"
)

// internalError is the body of the answer to a request whose handler panicked.
const internalError = "internal error"

// Contain logs a panic of the task that defers it, and ends only that task.
func Contain(log *slog.Logger, task string) {
	if r := recover(); r != nil {
		Report(log, task, r)
	}
}

// Report logs a panic that was recovered.
func Report(log *slog.Logger, task string, r any) {
	log.Error(message.Crash, "task", task, "error", fmt.Sprint(r), "stack", string(debug.Stack()))
}

// Handler returns a handler that answers with an error if h panics. The request may
// have run by then. The connection closes, since its state is not known.
func Handler(log *slog.Logger, listener string, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if r := recover(); r != nil {
				Report(log, "request on listener "+listener, r)
				ctx.Error(internalError, fasthttp.StatusBadGateway)
				ctx.SetConnectionClose()
			}
		}()
		h(ctx)
	}
}
