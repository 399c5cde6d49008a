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

// notAsked stands in the table for what only the VM's own daemon can say.
const notAsked = "-"

// daemonStatus is what is read of a daemon's /status.
type daemonStatus struct {
	VM       string                 `json:"vm"`
	Ready    bool                   `json:"ready"`
	Reason   string                 `json:"reason"`
	Sessions int                    `json:"sessions"`
	Watches  bool                   `json:"watches_store"`
	Groups   map[string]*view.Group `json:"groups"`
	Fleet    []controller.FleetVM   `json:"fleet"`
}

// statusOf returns an answer's status; what does not fit is left out.
func statusOf(a answer) (s daemonStatus) {
	raw, err := json.Marshal(a.Value)
	if err != nil || a.err != nil {
		return s
	}
	_ = json.Unmarshal(raw, &s)
	return s
}

// fleetOf merges what daemons have heard, sorted by VM. Of each VM the youngest
// word counts: an older one may be of a run that has ended.
func fleetOf(statuses []daemonStatus) []controller.FleetVM {
	byVM := map[string]controller.FleetVM{}
	for _, s := range statuses {
		for _, vm := range s.Fleet {
			if known, ok := byVM[vm.VM]; !ok || younger(vm, known) {
				byVM[vm.VM] = vm
			}
		}
	}
	return slices.SortedFunc(maps.Values(byVM), func(a, b controller.FleetVM) int { return cmp.Compare(a.VM, b.VM) })
}

func younger(a, b controller.FleetVM) bool {
	return a.ReportAgeMS >= 0 && (b.ReportAgeMS < 0 || a.ReportAgeMS < b.ReportAgeMS)
}

type fleetCommands struct {
	Status fleetStatus `cmd:"" help:"What the daemons named say of themselves, and have heard of the others."`
}

type fleetStatus struct{}

// Run prints all answers, also when some daemons did not give one.
func (fleetStatus) Run(r *runner) error {
	answers, err := r.askAll("/status", nil)
	if err != nil {
		return err
	}
	if err := r.print(answers, func(w io.Writer) { fleetText(w, answers) }); err != nil {
		return err
	}
	return firstError(answers)
}

// fleetText writes a line for each VM and each group, and one for each daemon
// that did not answer.
func fleetText(w io.Writer, answers []answer) {
	var statuses []daemonStatus
	for _, a := range answers {
		statuses = append(statuses, statusOf(a))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "VM\tZONE\tGENERATION\tHEARD\tREADY\tSESSIONS\tWATCHES")
	for _, vm := range fleetOf(statuses) {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\n", vm.VM, vm.Zone, vm.Generation, heardText(vm), ownText(vm, statuses))
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

func heardText(vm controller.FleetVM) string {
	text := "never"
	if vm.ReportAgeMS >= 0 {
		text = (time.Duration(vm.ReportAgeMS) * time.Millisecond).String() + " ago"
	}
	if vm.Leaving {
		text += ", leaving"
	}
	return text
}

// ownText is what the VM's own daemon said, if it was asked.
func ownText(vm controller.FleetVM, statuses []daemonStatus) string {
	i := slices.IndexFunc(statuses, func(s daemonStatus) bool { return s.VM == vm.VM })
	if i < 0 {
		return strings.Join([]string{notAsked, notAsked, notAsked}, "\t")
	}
	s := statuses[i]
	ready := "yes"
	if !s.Ready {
		ready = "no: " + s.Reason
	}
	return fmt.Sprintf("%s\t%d\t%t", ready, s.Sessions, s.Watches)
}

// newestGroups returns each group as the daemon with its highest term knows it.
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

// presence says what is known of a set on one VM.
type presence string

const (
	// presenceInForce: the VM said lately that it has this generation or a later one.
	presenceInForce presence = "in force"
	// presenceBehind: its last word was of an older generation.
	presenceBehind presence = "behind"
	// presenceSilent: its last word is too old to count, or it never spoke.
	presenceSilent presence = "silent"
)

// vmArrival is one VM's part in the spread of a generation.
type vmArrival struct {
	controller.FleetVM
	Presence presence `json:"presence"`
}

func (a vmArrival) String() string {
	return fmt.Sprintf("vm %s %s: generation %d, heard %s", a.VM, a.Presence, a.Generation, heardText(a.FleetVM))
}

// vmArrivals judges each VM. A word older than fresh vouches for nothing: the
// VM may have been replaced, or be cut off from the fleet with callers of its own.
func vmArrivals(fleet []controller.FleetVM, want profile.Generation, fresh time.Duration) []vmArrival {
	out := make([]vmArrival, len(fleet))
	for i, vm := range fleet {
		out[i] = vmArrival{vm, presenceInForce}
		switch {
		case vm.ReportAgeMS >= 0 && vm.Generation < want:
			out[i].Presence = presenceBehind
		case vm.ReportAgeMS < 0 || time.Duration(vm.ReportAgeMS)*time.Millisecond > fresh:
			out[i].Presence = presenceSilent
		}
	}
	return out
}

// lagText sums up who does not have the set.
func lagText(vms []vmArrival) string {
	byPresence := map[presence][]string{}
	for _, vm := range vms {
		byPresence[vm.Presence] = append(byPresence[vm.Presence], vm.VM)
	}
	text := fmt.Sprintf("in force on %d of %d VMs", len(byPresence[presenceInForce]), len(vms))
	for _, p := range []presence{presenceBehind, presenceSilent} {
		if names := byPresence[p]; len(names) > 0 {
			text += fmt.Sprintf("; %s: %s", p, strings.Join(names, " "))
		}
	}
	return text
}
