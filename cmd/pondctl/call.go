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

// call is one invocation of a command, with its flags and arguments.
type call struct {
	*terminal
	command command
	args    []string
	flags   *flag.FlagSet
	address *string
	token   *string
	asJSON  *bool
}

func newCall(t *terminal, c command, args []string) *call {
	set := flag.NewFlagSet(c.name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	run := &call{terminal: t, command: c, args: args, flags: set}
	run.asJSON = set.Bool("json", false, "print JSON")
	return run
}

// help prints the usage, the flags and an example of the command.
func (c *call) help() {
	fmt.Fprintf(c.out, "Usage: pondctl %s [flags] %s\n\n%s.\n\nFlags:\n", c.command.name, c.command.args, c.command.summary)
	c.flags.SetOutput(c.out)
	c.flags.PrintDefaults()
	fmt.Fprintf(c.out, "\nExample:\n  %s\n\n%s", c.command.example, exitHelp)
}

// withAddress adds the flags -at and -token, which default to the given environment variables.
// audience names the users of the API in the help text: "operators" or "callers".
func (c *call) withAddress(addressEnv, tokenEnv, audience string) {
	c.address = c.flags.String("at", c.env(addressEnv), audience+"' `address` of an instance; or "+addressEnv)
	c.token = c.flags.String("token", "", audience+"' `token`; prefer "+tokenEnv+", which other users of the machine cannot see")
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

// parse parses the flags and checks the number of arguments. It prints the help if that is
// requested.
func (c *call) parse() error {
	if err := c.flags.Parse(c.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			c.help()
			return err
		}
		return &usageError{Reason: err.Error()}
	}
	if c.flags.NArg() != c.command.nargs {
		return &usageError{Reason: fmt.Sprintf("expects %d argument(s) after the flags: %s", c.command.nargs, c.command.args)}
	}
	return nil
}

// parseRemote is like parse but also requires the address of an instance.
func (c *call) parseRemote() error {
	if err := c.parse(); err != nil {
		return err
	}
	if *c.address == "" {
		return &usageError{Reason: "-at is required"}
	}
	return nil
}

func (c *call) client() operate.Client {
	return operate.Client{Address: *c.address, Token: *c.token}
}

// print writes the value as JSON if -json is set; otherwise it calls text.
func (c *call) print(value any, text func()) error {
	if !*c.asJSON {
		text()
		return nil
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// isTransportError reports whether a call failed without a response.
func isTransportError(err error) bool {
	var failed *url.Error
	return errors.As(err, &failed)
}
