package catalog

import "crypto/sha256"

// Workspace is a customer that shares a deployment with others.
type Workspace struct {
	Name string
	// Limited is set if the operator limits the workspace's rate of operations.
	Limited bool
	// Rate is the limit in operations a second, over the whole fleet.
	Rate float64
	// Burst is how many operations it may request at once beyond Rate.
	Burst float64
}

// Key is the entry of an API key. Only digests of keys are stored.
type Key struct {
	// Workspace is the name of the workspace that holds the key.
	Workspace string
}

// KeyDigest replaces an API key in memory, in logs and between VMs.
type KeyDigest string

// DigestKey returns the digest of an API key. Keys are random strings, long enough that an unsalted
// fast digest cannot be reversed by search.
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
