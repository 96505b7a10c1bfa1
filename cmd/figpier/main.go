package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := root.Run(os.Args[1:], factory.System(ctx))
	stop()
	os.Exit(code)
}
