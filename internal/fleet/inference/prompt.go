package inference

// Segment is a part of a prompt. Its ID identifies either the segment's own content or, after
// AppendPrefixes, the whole prefix of the prompt up to and including the segment.
type Segment struct {
	ID     uint64 `msgpack:"ID"`
	Tokens int    `msgpack:"Tokens"`
}

// AppendPrefixes appends the segments of a prompt for the given model to dst. It replaces the ID of
// each by that of the prefix that ends with it, since the KV cache entry of a segment depends on
// everything before it.
func AppendPrefixes(dst []Segment, model string, segments []Segment) []Segment {
	hash := fnv1a(model)
	for _, segment := range segments {
		hash = Mix64(hash ^ Mix64(segment.ID))
		dst = append(dst, Segment{hash, max(segment.Tokens, 0)})
	}
	return dst
}

// HashString hashes an identifier. The hash is the same in all processes and versions, so that agents
// agree on the order of servers for a key.
func HashString(s string) uint64 { return Mix64(fnv1a(s)) }

// Mix64 is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast splittable pseudorandom
// number generators", 2014).
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// The parameters of the 64-bit FNV hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnv1a returns the 64-bit FNV-1a hash. Unlike the standard library's, it does not allocate.
func fnv1a(s string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return hash
}
