// Package claim decides whether a booking may be dispatched, so that each runs
// at most once. It does no I/O; the claims of a partition are kept in one
// object of the platform per bucket of time.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// Partitions spreads the claims of a service over objects and owners.
	Partitions = 16
	// BucketSpan is the span of issue times whose claims share an object.
	BucketSpan = 10 * time.Minute
	// Retention is how long after its issue a key is remembered.
	Retention = 24 * time.Hour
	// MaxSkew is how far ahead of the local clock a key's time may lie.
	MaxSkew = 5 * time.Minute
)

// Partition returns the partition of a key.
func Partition(key string) int { return int(xxhash.Sum64String(key) % Partitions) }

// OwnerKey returns the rendezvous key of a partition. Its owner is the
// assign.Owner of that key among the brokers of all failure domains.
func OwnerKey(service string, partition int) string {
	return fmt.Sprintf("claims/%s/%02d", service, partition)
}

// IssueTime returns the time of issue that a UUIDv7 key carries. The error is a
// result.Error with KeyInvalid, KeyExpired or KeyFuture; the request was then
// not run.
func IssueTime(key string, now time.Time) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.String() != key {
		return time.Time{}, result.NotRun(result.KeyInvalid, "%q", key)
	}
	seconds, nanos := id.Time().UnixTime()
	issued := time.Unix(seconds, nanos)
	if now.Sub(issued) > Retention {
		return issued, result.NotRun(result.KeyExpired, "issued %s, retention is %s", issued.UTC().Format(time.RFC3339), Retention)
	}
	if issued.Sub(now) > MaxSkew {
		return issued, result.NotRun(result.KeyFuture, "issued %s, at most %s ahead is allowed", issued.UTC().Format(time.RFC3339), MaxSkew)
	}
	return issued, nil
}

// ObjectName returns the name of the platform object that holds the claim of a
// key issued at the given time.
func ObjectName(service string, partition int, issued time.Time) string {
	bucket := issued.Unix() / int64(BucketSpan/time.Second)
	return fmt.Sprintf("claims/%s/%02d/%d", service, partition, bucket)
}
