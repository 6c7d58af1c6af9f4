package main

import (
	"context"
	"flag"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/process"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// defaultControlAddress is the address of a control replica on the same VM.
const defaultControlAddress = "127.0.0.1:7100"

// operatorFlags holds the flags of the commands that connect to control.
type operatorFlags struct {
	controls *string
	timeout  *time.Duration
	tls      settings.TLS
}

func addOperatorFlags(f *flag.FlagSet) *operatorFlags {
	o := &operatorFlags{
		controls: f.String("controls", defaultControlAddress, "addresses of control replicas, separated by commas"),
		timeout:  f.Duration("timeout", 30*time.Second, "time to wait for a response; requests whose response is lost are retried meanwhile"),
	}
	f.StringVar(&o.tls.Certificate, "certificate", "", "PEM file with the operator's certificate; leave empty for loopback without TLS")
	f.StringVar(&o.tls.Key, "key", "", "PEM file with the private key of the certificate")
	f.StringVar(&o.tls.Authority, "authority", "", "PEM file with the CA certificates for the certificates of control")
	return o
}

// connect returns a client, a context that ends with the timeout, and a function that
// releases both.
func (o *operatorFlags) connect(ctx context.Context) (*client.Client, context.Context, func(), error) {
	addresses := splitList(*o.controls)
	if len(addresses) == 0 {
		return nil, nil, nil, usagef("-controls contains no address")
	}
	var files *settings.TLS
	if o.tls != (settings.TLS{}) {
		if o.tls.Certificate == "" || o.tls.Key == "" || o.tls.Authority == "" {
			return nil, nil, nil, usagef("-certificate, -key and -authority must be set together")
		}
		files = &o.tls
	}
	config, err := process.OperatorTLS(files)
	if err != nil {
		return nil, nil, nil, err
	}
	c := client.New(client.Config{Addresses: addresses, TLS: config})
	ctx, cancel := context.WithTimeout(ctx, *o.timeout)
	return c, ctx, func() { cancel(); c.Close() }, nil
}

// splitList splits a list of addresses or names at commas.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// operatorName returns the default author of a change: user@host.
func operatorName() string {
	name, host := "unknown", "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return name + "@" + host
}
