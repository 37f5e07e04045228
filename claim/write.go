package claim

import (
	"encoding/json"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// Write is one conditional write of the object. It takes effect only if the object is at
// Version; zero means that the object must be created.
type Write struct {
	Version uint64
	Value   []byte
	claims  map[string]Record
}

// PrepareWrite returns the write that adds all outcomes and the claims of all waiting
// requests to the object. Once a further claim would grow the object beyond
// MaxBucketBytes, the returned decisions refuse the remaining requests, even those whose
// keys are claimed already. PrepareWrite returns false if the bucket is not loaded or
// there is nothing to write.
func (b *Bucket) PrepareWrite() (Write, []Decision, bool) {
	if !b.loaded || len(b.waiting) == 0 && len(b.outcomes) == 0 {
		return Write{}, nil, false
	}
	claims := make(map[string]Record, len(b.claims)+len(b.waiting))
	for key, r := range b.claims {
		claims[key] = r
	}
	for key := range b.outcomes {
		claims[key], _ = b.currentRecord(key)
	}
	refused := b.addClaims(claims)
	value, err := json.Marshal(object{Claims: claims})
	if err != nil {
		panic("claim: records cannot be encoded: " + err.Error())
	}
	return Write{Version: b.version, Value: value, claims: claims}, refused, true
}

// addClaims adds the claims of the waiting requests to claims, unless their keys are
// claimed already. It refuses the remaining requests once no further claim fits into the
// object.
func (b *Bucket) addClaims(claims map[string]Record) []Decision {
	var refused []Decision
	waiting := b.waiting
	b.waiting = nil
	objectBytes := b.objectBytes
	for _, w := range waiting {
		if objectBytes+claimBytes > MaxBucketBytes {
			b.abandoned[w.Attempt] = true
			refused = append(refused, Decision{Request: w.Request}.answerError(
				result.NotRun(result.Overloaded, "too many bookings in %s", BucketSpan)))
			continue
		}
		b.waiting = append(b.waiting, w)
		if existing, ok := claims[w.Key]; ok && !b.claimable(existing) {
			continue
		}
		claims[w.Key] = Record{Attempt: w.Attempt, Stage: StageClaimed, RequestDigest: w.Digest}
		objectBytes += claimBytes
	}
	return refused
}

// ConfirmWrite sets the bucket to the object as written, with the version that the
// platform returned for the write.
func (b *Bucket) ConfirmWrite(w Write, version uint64) {
	b.loaded, b.version, b.claims, b.objectBytes = true, version, w.claims, len(w.Value)
	b.dropWrittenOutcomes()
}

// dropWrittenOutcomes removes the outcomes that the object contains, and the refusals
// whose key is claimed by another attempt in the object.
func (b *Bucket) dropWrittenOutcomes() {
	for key, o := range b.outcomes {
		written, ok := b.claims[key]
		if ok && (written == o || o.Stage == StageRefused && written.Attempt != o.Attempt) {
			delete(b.outcomes, key)
		}
	}
}
