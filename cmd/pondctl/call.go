package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/url"

	"github.com/oriolepond/oriolepond/internal/operate"
)

// call is one run of a command.
type call struct {
	*terminal
	command command
	args    []string
	set     *flag.FlagSet
	at      *string
	token   *string
	asJSON  *bool
}

func newCall(t *terminal, c command, args []string) *call {
	set := flag.NewFlagSet(c.name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	run := &call{terminal: t, command: c, args: args, set: set}
	run.asJSON = set.Bool("json", false, "print JSON")
	return run
}

// help prints the flags and an example.
func (c *call) help() {
	fmt.Fprintf(c.out, "Usage: pondctl %s [flags] %s\n\n%s.\n\nFlags:\n", c.command.name, c.command.args, c.command.summary)
	c.set.SetOutput(c.out)
	c.set.PrintDefaults()
	fmt.Fprintf(c.out, "\nExample:\n  %s\n\n%s", c.command.example, exitHelp)
}

// withAddress adds the flags of commands that call an instance.
func (c *call) withAddress(addressEnv, tokenEnv, whose string) {
	c.at = c.set.String("at", c.env(addressEnv), whose+"' `address` of an instance; or "+addressEnv)
	c.token = c.set.String("token", "", whose+"' `token`; better "+tokenEnv+", which other users of the machine cannot see")
	if *c.token == "" {
		*c.token = c.env(tokenEnv)
	}
}

// withOperator adds the flags of commands that call the operators' API.
func (c *call) withOperator() { c.withAddress("ORIOLEPOND_AT", "ORIOLEPOND_TOKEN", "operators") }

// withCaller adds the flags of commands that call the callers' API.
func (c *call) withCaller() {
	c.withAddress("ORIOLEPOND_CALLER_AT", "ORIOLEPOND_CALLER_TOKEN", "callers")
}

// parse reads the flags and checks the number of arguments.
func (c *call) parse() error {
	if err := c.set.Parse(c.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			c.help()
			return err
		}
		return &usageError{Reason: err.Error()}
	}
	if c.set.NArg() != c.command.nargs {
		return &usageError{Reason: fmt.Sprintf("wants %d argument(s) after the flags: %s", c.command.nargs, c.command.args)}
	}
	return nil
}

// parseRemote is as parse, and wants an address.
func (c *call) parseRemote() error {
	if err := c.parse(); err != nil {
		return err
	}
	if *c.at == "" {
		return &usageError{Reason: "-at is required"}
	}
	return nil
}

func (c *call) client() operate.Client {
	return operate.Client{Address: *c.at, Token: *c.token}
}

// print writes a value as JSON, or calls text.
func (c *call) print(value any, text func()) error {
	if !*c.asJSON {
		text()
		return nil
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// isTransport reports whether a call got no answer at all.
func isTransport(err error) bool {
	var failed *url.Error
	return errors.As(err, &failed)
}
