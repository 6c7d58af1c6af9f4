package daemon

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"
)

// requestIDGenerator generates unique request ids. They are not secret.
type requestIDGenerator struct {
	mu  sync.Mutex
	rng *rand.ChaCha8
}

func newRequestIDGenerator(seed, incarnation uint64, id string) *requestIDGenerator {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	binary.LittleEndian.PutUint64(key[8:], incarnation)
	copy(key[16:], id)
	return &requestIDGenerator{rng: rand.NewChaCha8(key)}
}

func (g *requestIDGenerator) next() string {
	g.mu.Lock()
	a, b := g.rng.Uint64(), g.rng.Uint64()
	g.mu.Unlock()
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], a)
	binary.LittleEndian.PutUint64(raw[8:], b)
	return hex.EncodeToString(raw[:])
}
