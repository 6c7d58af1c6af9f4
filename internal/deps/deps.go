//go:build deps

// Package deps keeps the versions of libraries that are not imported yet.
package deps

import (
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/phuslu/log"
	_ "github.com/tailscale/hujson"
	_ "golang.org/x/sys/unix"
	_ "google.golang.org/grpc/credentials"
	_ "google.golang.org/grpc/health"
	_ "pgregory.net/rapid"
)
