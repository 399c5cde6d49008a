package gossip

import (
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/gossip/gossippb"
)

func workspacesOf(all map[string]*catalog.Workspace) []*gossippb.Workspace {
	out := make([]*gossippb.Workspace, 0, len(all))
	for _, w := range all {
		out = append(out, &gossippb.Workspace{Name: w.Name, Limited: w.Limited, Rate: w.Rate, Burst: w.Burst})
	}
	return out
}

func workspaces(in []*gossippb.Workspace) map[string]*catalog.Workspace {
	if len(in) == 0 {
		return nil
	}
	out := make(map[string]*catalog.Workspace, len(in))
	for _, w := range in {
		out[w.GetName()] = &catalog.Workspace{Name: w.GetName(), Limited: w.GetLimited(), Rate: w.GetRate(), Burst: w.GetBurst()}
	}
	return out
}

func keysOf(all map[string]*catalog.Key) []*gossippb.Key {
	out := make([]*gossippb.Key, 0, len(all))
	for digest, k := range all {
		out = append(out, &gossippb.Key{Digest: []byte(digest), Workspace: k.Workspace})
	}
	return out
}

func keys(in []*gossippb.Key) map[string]*catalog.Key {
	if len(in) == 0 {
		return nil
	}
	out := make(map[string]*catalog.Key, len(in))
	for _, k := range in {
		out[string(k.GetDigest())] = &catalog.Key{Workspace: k.GetWorkspace()}
	}
	return out
}

func digestsOf(all []string) [][]byte {
	out := make([][]byte, 0, len(all))
	for _, digest := range all {
		out = append(out, []byte(digest))
	}
	return out
}

func digests(in [][]byte) []string {
	var out []string
	for _, digest := range in {
		out = append(out, string(digest))
	}
	return out
}
