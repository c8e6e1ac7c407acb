package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/operate"
)

// jobSubmit submits a job and prints its state.
func jobSubmit(ctx context.Context, c *call) error {
	c.withCaller()
	tasks := c.flags.Int("tasks", 1, "number of tasks")
	key := c.flags.String("key", "", "`key` of the submission; repeating it with the same key returns the same job (default a new key)")
	if err := c.parseRemote(); err != nil {
		return err
	}
	if *key == "" {
		*key = uuid.Must(uuid.NewV7()).String()
		fmt.Fprintf(c.err, "key %s\n", *key)
	}
	client := operate.JobsClient{Address: *c.address, Token: *c.token}
	return c.printJob(client.Submit(ctx, c.flags.Arg(0), *tasks, *key))
}

// jobStatus prints the state of a job.
func jobStatus(ctx context.Context, c *call) error {
	c.withCaller()
	if err := c.parseRemote(); err != nil {
		return err
	}
	client := operate.JobsClient{Address: *c.address, Token: *c.token}
	return c.printJob(client.Call(ctx, http.MethodGet, c.flags.Arg(0)))
}

// jobCancel cancels a job and prints its state.
func jobCancel(ctx context.Context, c *call) error {
	c.withCaller()
	if err := c.parseRemote(); err != nil {
		return err
	}
	client := operate.JobsClient{Address: *c.address, Token: *c.token}
	return c.printJob(client.Call(ctx, http.MethodDelete, c.flags.Arg(0)))
}

func (c *call) printJob(job operate.WireJob, err error) error {
	if err != nil {
		return err
	}
	return c.print(job, func() {
		fmt.Fprintf(c.out, "job %s of %s", job.ID, job.Job)
		var states []string
		for state := range job.States {
			states = append(states, state)
		}
		sort.Strings(states)
		for _, state := range states {
			fmt.Fprintf(c.out, "  %s %d", state, job.States[state])
		}
		if job.Reason != "" {
			fmt.Fprintf(c.out, "  (%s)", job.Reason)
		}
		fmt.Fprintln(c.out)
	})
}
