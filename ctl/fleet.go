package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/view"
)

// notQueried is shown in the table where the VM's own daemon was not queried.
const notQueried = "-"

// daemonStatus contains the fields of a daemon's /status that the commands use.
type daemonStatus struct {
	VM       string                 `json:"vm"`
	Ready    bool                   `json:"ready"`
	Reason   string                 `json:"reason"`
	Sessions int                    `json:"sessions"`
	Watches  bool                   `json:"watches_store"`
	Groups   map[string]*view.Group `json:"groups"`
	Fleet    []controller.FleetVM   `json:"fleet"`
}

// statusOf returns the status in an answer. Fields that cannot be decoded are left out.
func statusOf(a answer) (s daemonStatus) {
	raw, err := json.Marshal(a.Value)
	if err != nil || a.err != nil {
		return s
	}
	_ = json.Unmarshal(raw, &s)
	return s
}

// fleetOf merges the fleet members reported by all daemons, sorted by VM. Of each VM it keeps the
// most recent report, since an older one may come from a previous incarnation of the VM.
func fleetOf(statuses []daemonStatus) []controller.FleetVM {
	byVM := map[string]controller.FleetVM{}
	for _, s := range statuses {
		for _, vm := range s.Fleet {
			if known, ok := byVM[vm.VM]; !ok || moreRecent(vm, known) {
				byVM[vm.VM] = vm
			}
		}
	}
	return slices.SortedFunc(maps.Values(byVM), func(a, b controller.FleetVM) int { return cmp.Compare(a.VM, b.VM) })
}

func moreRecent(a, b controller.FleetVM) bool {
	return a.ReportAgeMS >= 0 && (b.ReportAgeMS < 0 || a.ReportAgeMS < b.ReportAgeMS)
}

type fleetCommands struct {
	Status fleetStatus `cmd:"" help:"What the daemons named say of themselves, and have heard of the others."`
}

type fleetStatus struct{}

// Run prints all answers, even if some daemons did not answer.
func (fleetStatus) Run(r *runner) error {
	answers, err := r.fetchAll("/status", nil)
	if err != nil {
		return err
	}
	if err := r.print(answers, func(w io.Writer) { fleetText(w, answers) }); err != nil {
		return err
	}
	return firstError(answers)
}

// fleetText writes a line for each VM and each group, and one for each daemon that did not answer.
func fleetText(w io.Writer, answers []answer) {
	var statuses []daemonStatus
	for _, a := range answers {
		statuses = append(statuses, statusOf(a))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "VM\tZONE\tGENERATION\tHEARD\tREADY\tSESSIONS\tWATCHES")
	for _, vm := range fleetOf(statuses) {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\n", vm.VM, vm.Zone, vm.Generation, lastContactText(vm), ownStatusText(vm, statuses))
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "GROUP\tTERM\tPRIMARY\tSERVERS")
	for _, g := range newestGroups(statuses) {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\n", g.Name, g.Term, g.Primary, serversText(g))
	}
	_ = tw.Flush()
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintln(w, a.Error)
		}
	}
}

func lastContactText(vm controller.FleetVM) string {
	text := "never"
	if vm.ReportAgeMS >= 0 {
		text = (time.Duration(vm.ReportAgeMS) * time.Millisecond).String() + " ago"
	}
	if vm.Leaving {
		text += ", leaving"
	}
	return text
}

// ownStatusText returns the columns that only the VM's own daemon reports, or placeholders if that
// daemon was not queried.
func ownStatusText(vm controller.FleetVM, statuses []daemonStatus) string {
	i := slices.IndexFunc(statuses, func(s daemonStatus) bool { return s.VM == vm.VM })
	if i < 0 {
		return strings.Join([]string{notQueried, notQueried, notQueried}, "\t")
	}
	s := statuses[i]
	ready := "yes"
	if !s.Ready {
		ready = "no: " + s.Reason
	}
	return fmt.Sprintf("%s\t%d\t%t", ready, s.Sessions, s.Watches)
}

// newestGroups returns, for each group, the state reported by the daemon with the highest term.
func newestGroups(statuses []daemonStatus) []*view.Group {
	newest := map[string]*view.Group{}
	for _, s := range statuses {
		for name, g := range s.Groups {
			if known := newest[name]; known == nil || g.Term > known.Term {
				newest[name] = g
			}
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b *view.Group) int { return cmp.Compare(a.Name, b.Name) })
}

func serversText(g *view.Group) string {
	names := make([]string, len(g.Servers))
	for i, s := range g.Servers {
		names[i] = string(s.ID)
	}
	return strings.Join(names, " ")
}

// presence is the state of a published set on one VM.
type presence string

const (
	// presenceInForce: a recent report of the VM has this generation or a later one.
	presenceInForce presence = "in force"
	// presenceBehind: the VM's last report has an older generation.
	presenceBehind presence = "behind"
	// presenceNoReport: the VM's last report is too old to count, or there is none.
	presenceNoReport presence = "silent"
)

// vmRollout is the state of a generation on one VM.
type vmRollout struct {
	controller.FleetVM
	Presence presence `json:"presence"`
}

func (a vmRollout) String() string {
	return fmt.Sprintf("vm %s %s: generation %d, heard %s", a.VM, a.Presence, a.Generation, lastContactText(a.FleetVM))
}

// vmRollouts returns the state of each VM. A report older than maxAge proves nothing: the VM may
// have been replaced, or it may be cut off from the fleet and still serve callers.
func vmRollouts(fleet []controller.FleetVM, want profile.Generation, maxAge time.Duration) []vmRollout {
	out := make([]vmRollout, len(fleet))
	for i, vm := range fleet {
		out[i] = vmRollout{vm, presenceInForce}
		switch {
		case vm.ReportAgeMS >= 0 && vm.Generation < want:
			out[i].Presence = presenceBehind
		case vm.ReportAgeMS < 0 || time.Duration(vm.ReportAgeMS)*time.Millisecond > maxAge:
			out[i].Presence = presenceNoReport
		}
	}
	return out
}

// rolloutSummary counts the VMs that have the set and names those that don't.
func rolloutSummary(vms []vmRollout) string {
	byPresence := map[presence][]string{}
	for _, vm := range vms {
		byPresence[vm.Presence] = append(byPresence[vm.Presence], vm.VM)
	}
	text := fmt.Sprintf("in force on %d of %d VMs", len(byPresence[presenceInForce]), len(vms))
	for _, p := range []presence{presenceBehind, presenceNoReport} {
		if names := byPresence[p]; len(names) > 0 {
			text += fmt.Sprintf("; %s: %s", p, strings.Join(names, " "))
		}
	}
	return text
}
