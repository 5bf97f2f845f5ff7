package daemon

import (
	"errors"
	"fmt"
	"os"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/platform/dynamodb"
	"github.com/citronstream/citronstream/internal/platform/httpsd"
	"github.com/citronstream/citronstream/internal/platform/s3"
)

// Environment variables of the AWS SDK that hold the credentials.
const (
	envKeyID  = "AWS_ACCESS_KEY_ID"
	envSecret = "AWS_SECRET_ACCESS_KEY"
)

// Open returns the platform's services from the settings. Separate processes
// can't share state in memory, so the in-memory protocol is an error.
func Open(clk citronstream.Clock, pl settings.Platform) (citronstream.Platform, error) {
	var none citronstream.Platform
	for _, one := range []struct{ key, got, want string }{
		{"Table", pl.Table.Protocol, settings.ProtocolDynamoDB},
		{"Objects", pl.Objects.Protocol, settings.ProtocolS3},
		{"Liveness", pl.Liveness.Protocol, settings.ProtocolHTTPSD},
	} {
		if one.got != one.want {
			return none, fmt.Errorf("settings key Platform.%s.Protocol: %q is for the commands local and demo only, want %q", one.key, one.got, one.want)
		}
	}
	keyID, secret := os.Getenv(envKeyID), os.Getenv(envSecret)
	if keyID == "" || secret == "" {
		return none, errors.New("environment variables " + envKeyID + " and " + envSecret + " are not set")
	}
	store := s3.New(clk, pl.Objects.Endpoint, s3.WithBucket(pl.Objects.Bucket), s3.WithRegion(pl.Table.Region), s3.WithCredentials(keyID, secret))
	return citronstream.Platform{
		Table: dynamodb.New(clk, pl.Table.Endpoint, dynamodb.WithName(pl.Table.Name),
			dynamodb.WithRegion(pl.Table.Region), dynamodb.WithCredentials(keyID, secret)),
		Objects: store, Weights: store, Liveness: httpsd.New(clk, pl.Liveness.URL),
	}, nil
}
