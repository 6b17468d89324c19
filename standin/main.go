// Command standin simulates the external systems in tests and demonstrations: the
// platform's table service and instance list, and the backend servers. It is not part
// of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

type (
	serveOptions struct {
		Deployment string `long:"deployment" required:"yes" description:"deployment file"`
	}

	certsOptions struct {
		Out  string `long:"out" required:"yes" description:"output directory for the certificates"`
		Args struct {
			Names []string `positional-arg-name:"NAME=IP" required:"yes"`
		} `positional-args:"yes"`
	}
)

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	must(parser.AddCommand("serve", "Simulate the platform and the backend servers", "", &serveOptions{}))
	must(parser.AddCommand("certs", "Create a certificate authority and certificates for tests", "", &certsOptions{}))
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

func must(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}

// Execute serves until it receives SIGTERM or SIGINT.
func (o *serveOptions) Execute([]string) error {
	deployment, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sim := newSimulator(deployment)
	if err := sim.start(); err != nil {
		return err
	}
	fmt.Println("standin is running")
	<-ctx.Done()
	return nil
}

// Execute writes the certificates and exits.
func (o *certsOptions) Execute([]string) error {
	return writeCerts(o.Out, o.Args.Names)
}
