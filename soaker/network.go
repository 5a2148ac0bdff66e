package soaker

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// network is a loopback network 127.number.0.0/16 that one soak run uses. Some
// ports are fixed, so two runs on one network would take each other's addresses.
type network struct {
	number int
	// lock is a listener on a name that only one process of the machine can hold.
	// The system releases it when the process ends, however it ends.
	lock net.Listener
}

// firstNetwork and networkCount give the range of networks that soak runs use.
const (
	firstNetwork = 10
	networkCount = 200
)

// reserveNetwork reserves a network that no other soak run on this machine uses.
func reserveNetwork() (*network, error) {
	for i := range networkCount {
		number := firstNetwork + (os.Getpid()+i)%networkCount
		lock, err := net.Listen("unix", fmt.Sprintf("@goldcreststack-soak-%d", number))
		switch {
		case err == nil:
			return &network{number: number, lock: lock}, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, eris.Wrapf(err, "network 127.%d.0.0/16", number)
		}
	}
	return nil, eris.Errorf("all %d networks from 127.%d.0.0/16 on are used by other soak runs", networkCount, firstNetwork)
}

func (n *network) release() { _ = n.lock.Close() }
