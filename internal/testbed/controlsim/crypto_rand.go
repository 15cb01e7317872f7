package controlsim

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"sync"
)

// seededReader is a source for crypto/rand, from which processes make their names: ids of disks order the
// first chain, so runs of one seed would differ from their first step on.
type seededReader struct {
	mu     sync.Mutex
	source *rand.ChaCha8
}

func (s *seededReader) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Read(b)
}

// seedCryptoRand has crypto/rand give bytes from a seed until restore is called. Runs of one process are
// played one after the other for it.
func seedCryptoRand(seed uint64) (restore func()) {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	var before io.Reader
	before, cryptorand.Reader = cryptorand.Reader, &seededReader{source: rand.NewChaCha8(key)}
	return func() { cryptorand.Reader = before }
}
