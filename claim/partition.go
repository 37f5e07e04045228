// Package claim decides whether a booking may be dispatched, so that each booking runs
// at most once. A claim records that one attempt may dispatch the booking of an
// idempotency key. The keys of a service are divided into partitions. The platform stores
// the claims of a partition in objects, one per BucketSpan of issue times. A Bucket
// handles one such object. The package does no I/O.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// Partitions is the number of partitions of a service. They spread its claims
	// over objects, and over the brokers that own the partitions.
	Partitions = 16
	// BucketSpan is the length of the interval of issue times whose claims share an
	// object.
	BucketSpan = 10 * time.Minute
	// Retention is how long after its time of issue a key is valid. Its claim is kept at
	// least as long.
	Retention = 24 * time.Hour
	// MaxSkew is how far a key's time of issue may be ahead of the local clock.
	MaxSkew = 5 * time.Minute
)

// Partition returns the partition of a key, from 0 to Partitions-1.
func Partition(key string) int { return int(xxhash.Sum64String(key) % Partitions) }

// OwnerKey returns the rendezvous hashing key of a partition. The owner of the partition
// is the assign.Owner of that key among the brokers of all failure domains.
func OwnerKey(service string, partition int) string {
	return fmt.Sprintf("claims/%s/%02d", service, partition)
}

// IssueTime returns the time of issue in a key, which must be a UUIDv7 in canonical form.
// The error is a result.Error that says that the request was not run. Its code is
// KeyInvalid for any other key, KeyExpired if the time is more than Retention before
// now, and KeyFuture if it is more than MaxSkew after now.
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

// ObjectName returns the name of the platform object that stores the claims of those keys
// of a partition that were issued in the same BucketSpan as the given time.
func ObjectName(service string, partition int, issued time.Time) string {
	interval := issued.Unix() / int64(BucketSpan/time.Second)
	return fmt.Sprintf("claims/%s/%02d/%d", service, partition, interval)
}
