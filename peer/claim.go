package peer

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/wigeonlock/wigeonlock/payment"
	"github.com/wigeonlock/wigeonlock/peer/wire"
)

// Claims applies changes to payment claims.
type Claims interface {
	Apply(ctx context.Context, c payment.Change) (payment.Result, error)
}

// Claim applies a change for another instance.
func (s *server) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	v, err := s.service.Claims.Apply(ctx, payment.Change{
		Kind: payment.ChangeKind(r.GetKind()), Key: payment.Key(r.GetKey()), Attempt: r.GetAttempt(),
		Outcome: payment.Outcome{
			Status: int(r.GetStatus()), ContentType: r.GetContentType(), Answer: r.GetAnswer(), Complete: r.GetKept(),
		},
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.ClaimReply{
		Kind: string(v.Kind), Attempt: v.Claim.Attempt, State: string(v.Claim.State), Status: int32(v.Claim.Status),
		ContentType: v.Claim.ContentType, Answer: v.Claim.Answer, Kept: v.Claim.Complete,
	}, nil
}

// Claim requests a change to a payment claim from the instance at an address.
// After an error the change may or may not have been applied.
func (c *Client) Claim(ctx context.Context, address string, change payment.Change) (payment.Result, error) {
	conn, err := c.conn(address)
	if err != nil {
		return payment.Result{}, err
	}
	o := change.Outcome
	reply, err := wire.NewPeerClient(conn).Claim(ctx, &wire.ClaimRequest{
		Kind: string(change.Kind), Key: string(change.Key), Attempt: change.Attempt,
		Status: int32(o.Status), ContentType: o.ContentType, Answer: o.Answer, Kept: o.Complete,
	})
	if err != nil {
		return payment.Result{}, errors.Wrap(err, "forward claim")
	}
	return payment.Result{Kind: payment.ResultKind(reply.GetKind()), Claim: payment.Claim{
		Key: change.Key, Attempt: reply.GetAttempt(), State: payment.State(reply.GetState()), Status: int(reply.GetStatus()),
		ContentType: reply.GetContentType(), Answer: reply.GetAnswer(), Complete: reply.GetKept(),
	}}, nil
}
