package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	firstPass  = "pass-1"
	secondPass = "pass-2"
	heldPass   = "pass-3"
)

func (d *demo) waitReady(ctx context.Context) (string, error) {
	for _, addr := range d.Admin {
		if err := poll(ctx, func() error { return expectOK(ctx, addr, "/readyz") }); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d daemons take callers", len(d.Admin)), nil
}

func (d *demo) buy(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 0, "")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if err = purchase(ctx, conn, "key-1", firstPass); err != nil {
		return "", err
	}
	d.token = conn.PgConn().ParameterStatus(sessionParam)
	if d.token == "" {
		return "", errors.New("purchase through daemon 1: connection reports no session token")
	}
	return "bought " + firstPass + " through daemon 1", nil
}

func (d *demo) readWithToken(ctx context.Context) (string, error) {
	return d.readAt(ctx, 1, d.token)
}

func (d *demo) readWithoutToken(ctx context.Context) (string, error) {
	return d.readAt(ctx, 1, "")
}

func (d *demo) readAt(ctx context.Context, i int, token string) (string, error) {
	conn, err := d.connect(ctx, i, token)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if err = expectOne(ctx, conn, firstPass); err != nil {
		return "", err
	}
	return fmt.Sprintf("read %s through daemon %d", firstPass, i+1), nil
}

// repeatPurchase sends the first purchase again through another daemon, as a caller does that has
// not received the answer. The statement must not run a second time.
func (d *demo) repeatPurchase(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 1, "")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if err = purchase(ctx, conn, "key-1", firstPass); err != nil {
		return "", err
	}
	return "the first answer came back, charged once", expectOne(ctx, conn, firstPass)
}

func (d *demo) killPrimary(ctx context.Context) (string, error) {
	if err := killServer(ctx, d.Controls[0]); err != nil {
		return "", err
	}
	begin := time.Now()
	tries := 0
	err := poll(ctx, func() error { tries++; return d.buyOnce(ctx, "key-2", secondPass) })
	if err != nil {
		return "", err
	}
	gap := time.Since(begin).Round(time.Millisecond)
	return fmt.Sprintf("the next purchase succeeded after %s and %d tries", gap, tries), nil
}

// killServer kills the process of a stand-in server and waits until it has exited, so that the
// following purchase cannot succeed on the old primary.
func killServer(ctx context.Context, control string) error {
	resp, err := http.Post("http://"+control+"/fault?kind=kill", "", nil)
	if err != nil {
		return errors.Wrap(err, "send kill fault to the server")
	}
	resp.Body.Close()
	return poll(ctx, func() error {
		if _, _, err := get(ctx, control, "/status"); err == nil {
			return errors.New("kill server: its control endpoint still answers /status")
		}
		return nil
	})
}

func (d *demo) buyOnce(ctx context.Context, key, id string) error {
	conn, err := d.connect(ctx, 0, d.token)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	return purchase(ctx, conn, key, id)
}

func (d *demo) verifyPurchases(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 2, "")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if err = expectOne(ctx, conn, firstPass); err != nil {
		return "", err
	}
	return "both purchases are there once", expectOne(ctx, conn, secondPass)
}

// profileChange signals the script to publish, and waits until every daemon has a later generation
// in force.
func (d *demo) profileChange(ctx context.Context) (string, error) {
	before, err := generation(ctx, d.Admin[0])
	if err != nil {
		return "", err
	}
	if err = os.WriteFile(d.Ctl, []byte("go\n"), 0o600); err != nil {
		return "", errors.Wrap(err, "signal the script to publish the profile")
	}
	for _, addr := range d.Admin {
		err = poll(ctx, func() error { return expectGenerationAbove(ctx, addr, before) })
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("generation %d in force on all %d", before+1, len(d.Admin)), nil
}

func expectGenerationAbove(ctx context.Context, addr string, before uint64) error {
	now, err := generation(ctx, addr)
	if err != nil {
		return err
	}
	if now <= before {
		return errors.Errorf("profile change not in force on daemon %s: /status still reports generation %d", addr, now)
	}
	return nil
}

// gracefulShutdown sends SIGTERM to the last daemon while a transaction is open on it. The
// transaction must commit, and the daemon must then exit.
func (d *demo) gracefulShutdown(ctx context.Context) (string, error) {
	last := len(d.Callers) - 1
	conn, err := d.connect(ctx, last, "")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if _, err = conn.Exec(ctx, tagged("purchase", "key-3", "BEGIN")); err != nil {
		return "", errors.Wrap(err, "begin transaction on the last daemon")
	}
	if err = syscall.Kill(d.DrainPID, syscall.SIGTERM); err != nil {
		return "", errors.Wrap(err, "send SIGTERM to the last daemon")
	}
	if err = poll(ctx, func() error { return expectNotReady(ctx, d.Admin[last]) }); err != nil {
		return "", err
	}
	const insert = "INSERT INTO passes(id, flight, price) VALUES ('" + heldPass + "', 'SK101', '12')"
	if _, err = conn.Exec(ctx, insert); err != nil {
		return "", errors.Wrap(err, "insert through the draining daemon")
	}
	if _, err = conn.Exec(ctx, "COMMIT"); err != nil {
		return "", errors.Wrap(err, "commit through the draining daemon")
	}
	if err = poll(ctx, func() error { return expectExited(d.DrainPID) }); err != nil {
		return "", err
	}
	return "the open transaction committed, then the daemon left", d.expectHeldPass(ctx)
}

func (d *demo) expectHeldPass(ctx context.Context) error {
	conn, err := d.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	return expectOne(ctx, conn, heldPass)
}

func expectExited(pid int) error {
	if syscall.Kill(pid, 0) == nil {
		return errors.Errorf("daemon process %d has not exited after SIGTERM", pid)
	}
	return nil
}

func expectOK(ctx context.Context, addr, path string) error {
	code, _, err := get(ctx, addr, path)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return errors.Errorf("GET %s%s: got status %d, want 200", addr, path, code)
	}
	return nil
}

// expectNotReady returns an error while /readyz reports ready. A closed endpoint counts as not
// ready.
func expectNotReady(ctx context.Context, addr string) error {
	if expectOK(ctx, addr, "/readyz") == nil {
		return errors.New(addr + ": /readyz still reports ready after SIGTERM")
	}
	return nil
}

func generation(ctx context.Context, addr string) (uint64, error) {
	_, body, err := get(ctx, addr, "/status")
	if err != nil {
		return 0, err
	}
	var st struct {
		Generation uint64 `json:"generation"`
	}
	return st.Generation, errors.Wrap(json.Unmarshal(body, &st), "decode reply of /status")
}
