package changefeed

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonlock/wigeonlock/changefeed/wire"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/watch"
)

// source holds one batch, and records the revisions after which it was subscribed to.
type source struct {
	batch watch.Batch
	after chan store.Revision
}

func (s *source) Subscribe(after store.Revision) (missed watch.Batch, batches <-chan watch.Batch, end func(), err error) {
	s.after <- after
	return s.batch, make(chan watch.Batch), func() {}, nil
}

func (s *source) Revision() store.Revision { return s.batch.Revision }

func serve(t *testing.T, s *source) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &Server{Source: s}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Close()
		assert.NoError(t, <-done)
	})
	return l.Addr().String()
}

func change(key string, revision, written store.Revision) watch.Change {
	return watch.Change{
		Change:  store.Change{Item: store.Item{Key: key, Value: []byte("v"), Revision: revision}, Deleted: written > 0},
		Written: written,
	}
}

// TestErasArePassedOn sends changes of two eras to a neighbour.
func TestErasArePassedOn(t *testing.T) {
	retained := change("config", store.RevisionOf(1, 66), 0)
	retained.Retained = true
	sent := watch.Batch{Revision: store.RevisionOf(2, 50), At: time.Now(), Changes: []watch.Change{
		change("a", store.RevisionOf(2, 49), 0), retained, change("gone", store.RevisionOf(1, 60), store.RevisionOf(1, 55)),
		change("other build", store.RevisionOf(0, 7), 0),
	}}
	s := &source{batch: sent, after: make(chan store.Revision, 1)}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	received := make(chan watch.Batch, 1)
	go func() {
		_ = (&Client{Instance: "e"}).Follow(ctx, watch.Neighbour{Address: serve(t, s)}, store.RevisionOf(1, 64), func(b watch.Batch) { received <- b })
	}()
	got := <-received
	assert.Equal(t, store.RevisionOf(1, 64), <-s.after)
	assert.Equal(t, sent.Revision, got.Revision)
	assert.Equal(t, sent.Changes, got.Changes)
}

// TestBuildWithoutEras follows as a build does that names no era, which then counts as one of
// the current era, and decodes what such a build sends: that is of era zero.
func TestBuildWithoutEras(t *testing.T) {
	s := &source{batch: watch.Batch{Revision: store.RevisionOf(2, 50)}, after: make(chan store.Revision, 2)}
	conn, err := grpc.NewClient("passthrough:///"+serve(t, s), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for after, want := range map[uint64]store.Revision{40: store.RevisionOf(2, 40), 0: 0} {
		stream, followErr := wire.NewNewsClient(conn).Follow(t.Context(), &wire.FollowRequest{Instance: "old", After: after})
		require.NoError(t, followErr)
		b, followErr := stream.Recv()
		require.NoError(t, followErr)
		assert.EqualValues(t, 50, b.GetRevision())
		assert.Equal(t, want, <-s.after)
	}
	data, err := proto.Marshal(&wire.Batch{Revision: 90, Changes: []*wire.Change{{Key: "config", Revision: 88}}})
	require.NoError(t, err)
	var old wire.Batch
	require.NoError(t, proto.Unmarshal(data, &old))
	got := decode(time.Now(), &old)
	assert.Equal(t, store.RevisionOf(0, 90), got.Revision)
	assert.Equal(t, store.RevisionOf(0, 88), got.Changes[0].Revision)
}
