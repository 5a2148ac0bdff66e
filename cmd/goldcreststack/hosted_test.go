package main_test

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

// Guards against a process that a change of the settings ends while it starts.
func TestReloadDuringStart(t *testing.T) {
	// The process also takes the ports after this one, and a fixed one.
	free, err := netip.ParseAddrPort(freeAddresses(t, 1)[0])
	assert.NilError(t, err)
	node := imitator.Node{Name: "e1", IP: free.Addr().String(), Entry: true, Port: int(free.Port()), Seeds: []string{"127.0.0.1:1"}}
	data, err := node.Encode()
	assert.NilError(t, err)
	// The process waits for its settings, which come over a named pipe.
	file := filepath.Join(t.TempDir(), "node.json")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	t.Setenv(imitator.NodeVariable, file)
	p := &process{t: t, name: "e1", args: []string{"hosted", "entry"}, log: filepath.Join(t.TempDir(), "log")}
	p.start()
	t.Cleanup(p.kill)
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	assert.NilError(t, err)
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	_, err = settings.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", imitator.PortAddress(node.IP, node.Port, 2)); err == nil {
			_ = conn.Close()
			return
		}
		select {
		case err := <-p.done:
			p.done <- err
			t.Fatalf("the process has ended: %v", err)
		default:
		}
	}
	t.Fatal("the process does not serve")
}
