package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/task"
)

// Messages from one shard to another arrive with every field, and the error of a refusal
// is passed back.
func TestTransferKeepsEveryField(t *testing.T) {
	transfer := shard.Transfer{
		From: "bajio.0", Epoch: 7, Number: 3, Cancelled: []string{"gone"},
		Jobs: []shard.MovedJob{{
			ID: "j", Neighbour: "quality", Share: "reviews", Name: "flatness-review",
			Tasks: []shard.MovedTask{
				{Number: 4, Incarnation: 2, Checkpoint: "c", Failures: 1, Reason: "r", Waited: 3 * time.Second},
			},
		}},
	}
	report := shard.Report{From: "bajio.1", Rows: []shard.MovedState{{
		Job: "j", Number: 4, Transfer: 3, State: task.Running, Incarnation: 5, Checkpoint: "d", Failures: 2, Reason: "s",
	}}}
	capacities := []shard.FreeCapacity{{Family: "flatness-review", Fits: true, Startable: 9}}
	calls := serveTasks(t, &shard.Calls{
		FreeCapacity: func(_ context.Context, id, from string, families []string) ([]shard.FreeCapacity, error) {
			require.Equal(t, []string{"bajio.1", "bajio.0", "flatness-review"}, append([]string{id, from}, families...))
			return capacities, nil
		},
		Transfer: func(_ context.Context, id string, got shard.Transfer) error {
			require.Equal(t, "bajio.1", id)
			require.Equal(t, transfer, got)
			return nil
		},
		Report: func(_ context.Context, id string, got shard.Report) error {
			require.Equal(t, report, got)
			return &shard.NotLeaderError{Shard: id, Leader: "e"}
		},
	})
	got, err := calls.FreeCapacity(t.Context(), "bajio.1", "bajio.0", []string{"flatness-review"})
	require.NoError(t, err)
	require.Equal(t, capacities, got)
	require.NoError(t, calls.Transfer(t.Context(), "bajio.1", transfer))
	var notLeader *shard.NotLeaderError
	require.ErrorAs(t, calls.Report(t.Context(), "bajio.0", report), &notLeader)
	require.Equal(t, "e", notLeader.Leader)
}

// serveTasks returns a client of the calls over a connection.
func serveTasks(t *testing.T, calls *shard.Calls) *shard.Calls {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	peer.RegisterTasks(server, calls)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return peer.NewTasks(conn)
}
