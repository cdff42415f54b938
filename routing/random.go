package routing

import (
	"encoding/binary"
	"hash/fnv"
)

// draw returns the next number in [0, 1) of the node's random sequence, which
// depends only on the seed.
func (b *Balancer) draw() float64 {
	b.draws++
	h := fnv.New64a()
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], b.seed)
	binary.LittleEndian.PutUint64(buf[8:], b.draws)
	h.Write(buf[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

// roundRandomly rounds x up with the probability of its fractional part, else
// down. The mean total of many nodes then equals the sum of their fractions.
func (b *Balancer) roundRandomly(x float64) int { return int(x + b.draw()) }
