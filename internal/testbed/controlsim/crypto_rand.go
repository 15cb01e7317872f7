package controlsim

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"sync"
)

// seededReader is a deterministic source for crypto/rand, from which processes draw their identifiers. The initial
// chain is ordered by the ids of the disks, so without seededReader the runs of a seed would differ from the start.
type seededReader struct {
	mu     sync.Mutex
	source *rand.ChaCha8
}

func (s *seededReader) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Read(b)
}

// seedCryptoRand makes crypto/rand deterministic until restore is called. The reader is global, so simulations must
// not run concurrently in a process.
func seedCryptoRand(seed uint64) (restore func()) {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	var previous io.Reader
	previous, cryptorand.Reader = cryptorand.Reader, &seededReader{source: rand.NewChaCha8(key)}
	return func() { cryptorand.Reader = previous }
}
