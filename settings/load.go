package settings

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/internal/inidoc"
	"endivemoor.example/endivemoor/session"
)

// Sections of the file.
const (
	sectionVM       = "vm"
	sectionListen   = "listen"
	sectionPlatform = "platform"
	sectionTLS      = "tls"
	sectionPeerTLS  = "peer-tls"
	sectionTargets  = "targets"
	sectionCallers  = "callers"
	sectionFailover = "failover"
	sectionLog      = "log"
	sectionKeys     = "session-keys"
	sectionUsers    = "users"
)

var sections = []string{
	sectionVM, sectionListen, sectionPlatform, sectionTLS, sectionPeerTLS, sectionTargets,
	sectionCallers, sectionFailover, sectionLog, sectionKeys, sectionUsers,
}

const (
	keyActive      = "active"
	scramPrefix    = "SCRAM-SHA-256$"
	repairAddress  = "write ip:port, such as 127.0.0.1:6432"
	repairTLSFiles = "set cert and key together, or neither"
)

// Load reads and checks the file. The error is finding.Findings, or a failure to read the file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, findings := Parse(path, raw)
	return s, findings.Err()
}

// Parse checks the whole text. The settings may be used only if no finding is an Error.
func Parse(file string, raw []byte) (*Settings, finding.Findings) {
	doc := inidoc.Load(file, raw)
	for _, s := range doc.Sections() {
		if !slices.Contains(sections, s.Name) {
			s.Skip("unknown section", "use one of "+strings.Join(sections, ", "))
		}
	}
	s := &Settings{
		VM:       readVM(doc.Section(sectionVM)),
		Listen:   readListen(doc.Section(sectionListen)),
		Platform: readPlatform(doc.Section(sectionPlatform)),
		TLS:      readKeyFiles(doc.Section(sectionTLS)),
		PeerTLS:  readPeerKeyFiles(doc.Section(sectionPeerTLS)),
		Targets:  readTargets(doc.Section(sectionTargets)),
		Callers:  readCallers(doc.Section(sectionCallers)),
		Failover: readFailover(doc.Section(sectionFailover)),
		Log:      Log{Level: doc.Section(sectionLog).Choice("level", "info", "debug", "info", "warn", "error")},
		Users:    readUsers(doc.Section(sectionUsers)),
	}
	s.ActiveKey, s.SessionKeys = readSessionKeys(doc.Section(sectionKeys))
	return s, doc.Finish()
}

func readVM(s *inidoc.Section) VM {
	vm := VM{
		ID:     s.Required("id", "give this VM a unique name"),
		Zone:   s.Required("zone", "name the availability zone"),
		Groups: splitList(s.String("groups", "")),
		Zones:  splitList(s.Required("zones", "list all availability zones of the fleet")),
	}
	if vm.Zone != "" && len(vm.Zones) > 0 && !slices.Contains(vm.Zones, vm.Zone) {
		s.Fault("zones", "does not hold this VM's own zone "+vm.Zone, "add it")
	}
	return vm
}

func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func readListen(s *inidoc.Section) Listen {
	return Listen{
		Callers: readAddress(s, "callers"),
		Peers:   readAddress(s, "peers"),
		Admin:   readAddress(s, "admin"),
	}
}

func readAddress(s *inidoc.Section, key string) string {
	addr := s.Required(key, repairAddress)
	if addr == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		s.Fault(key, "is no ip:port", repairAddress)
	}
	return addr
}

func readPlatform(s *inidoc.Section) Platform {
	return Platform{
		URL:     s.Required("url", "write the object API's base URL"),
		Timeout: s.Duration("timeout", 2*time.Second, 100*time.Millisecond, 30*time.Second),
	}
}

func readKeyFiles(s *inidoc.Section) KeyFiles {
	k := KeyFiles{Cert: s.String("cert", ""), Key: s.String("key", "")}
	if (k.Cert == "") != (k.Key == "") {
		s.Fault("", "only one of cert and key is set", repairTLSFiles)
	}
	return k
}

// readPeerKeyFiles also requires the certificate authority, because peers authenticate each other
// by certificates.
func readPeerKeyFiles(s *inidoc.Section) KeyFiles {
	k := readKeyFiles(s)
	k.CA = s.String("ca", "")
	if k.Cert != "" && k.CA == "" {
		s.Fault("ca", "is missing", "name the authority that signs every peer's certificate")
	}
	return k
}

func readTargets(s *inidoc.Section) Targets {
	return Targets{
		User:        s.Required("user", "name the login to database servers"),
		Password:    s.String("password", ""),
		TLS:         s.Choice("tls", "disable", "disable", "require", "verify-full"),
		CA:          s.String("ca", ""),
		Connections: s.Int("connections", 25, 4, 10000),
		Slots:       s.Int("slots", 3, 1, 1000),
	}
}

func readCallers(s *inidoc.Section) Callers {
	return Callers{
		MaxSessions:    s.Int("max-sessions", 4000, 1, 100000),
		MaxMessage:     s.Int("max-message", 16<<20, 1<<10, 1<<30),
		StartupTimeout: s.Duration("startup-timeout", 10*time.Second, time.Second, time.Minute),
		DrainTimeout:   s.Duration("drain-timeout", time.Minute, time.Second, time.Hour),
	}
}

func readFailover(s *inidoc.Section) Failover {
	return Failover{
		Heartbeat:    s.Duration("heartbeat", 100*time.Millisecond, 20*time.Millisecond, 10*time.Second),
		SuspectAfter: s.Duration("suspect-after", 500*time.Millisecond, 100*time.Millisecond, time.Minute),
		LeaseTime:    s.Duration("lease", 6*time.Second, time.Second, time.Minute),
	}
}

func readSessionKeys(s *inidoc.Section) (string, map[string][]byte) {
	active := s.Required(keyActive, "name the key that signs")
	keys := map[string][]byte{}
	for _, id := range s.Keys() {
		if id == keyActive {
			continue
		}
		secret := s.String(id, "")
		keys[id] = []byte(secret)
		if len(secret) < session.MinKeyBytes {
			s.Fault(id, "secret is shorter than 32 bytes", "generate a longer one")
		}
	}
	if _, ok := keys[active]; active != "" && !ok {
		s.Fault(keyActive, "no key has the id "+active, "add it to this section")
	}
	return active, keys
}

func readUsers(s *inidoc.Section) map[string]string {
	users := map[string]string{}
	for _, name := range s.Keys() {
		secret := s.String(name, "")
		users[name] = secret
		if !strings.HasPrefix(secret, scramPrefix) {
			s.Fault(name, "is no SCRAM-SHA-256 secret", "make one with: endivemoor scram-secret")
		}
	}
	return users
}
