package catalog

import "crypto/sha256"

// Workspace is a customer that shares a deployment with others.
type Workspace struct {
	Name string
	// Limited is set if the operator limits how much the workspace may ask for.
	Limited bool
	// Rate is its limit in operations a second, of the whole fleet.
	Rate float64
	// Burst is how many operations it may ask for at once beyond Rate.
	Burst float64
}

// Key says who holds an API key. Keys are known by their digests only.
type Key struct {
	// Workspace is the holder's name.
	Workspace string
}

// KeyDigest stands for an API key in memory, in logs and between VMs.
type KeyDigest string

// DigestKey returns the digest of an API key. Keys are random strings, long enough
// that a digest without salt or cost cannot be searched.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:])
}

// Holder returns the workspace that holds a key; nil if no workspace does.
func (c *Config) Holder(key KeyDigest) *Workspace {
	k := c.Keys[string(key)]
	if k == nil {
		return nil
	}
	return c.Workspaces[k.Workspace]
}
