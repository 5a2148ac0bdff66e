package recorder

import (
	"fmt"

	"goldcreststack.example/goldcreststack/modeler"
)

// serviceCaller is a caller of a service.
type serviceCaller struct {
	service modeler.ServiceName
	caller  modeler.CallerHash
}

// usage counts the records of each service and of each of its callers. Both are
// limited by the number of free records, so that a single service or caller may
// use much of the table and each further one still finds room: a caller on its
// own may fill a third of the table, and n services that use all they may leave
// 1/(n+1) of it free.
type usage struct {
	recordsByService map[modeler.ServiceName]int
	recordsByCaller  map[serviceCaller]int
}

func newUsage() usage {
	return usage{recordsByService: make(map[modeler.ServiceName]int), recordsByCaller: make(map[serviceCaller]int)}
}

// refusalReason returns why a caller of a service gets no further record while
// some are free, or an empty string if it gets one.
func (u *usage) refusalReason(service modeler.ServiceName, caller modeler.CallerHash, free int) string {
	ofService := u.recordsByService[service]
	if ofService >= free {
		return fmt.Sprintf("service %s holds %d of the idempotency keys, its share", service, ofService)
	}
	ofCaller := u.recordsByCaller[serviceCaller{service, caller}]
	if ofCaller >= free-ofService {
		return fmt.Sprintf("this caller of service %s holds %d of the idempotency keys, its share", service, ofCaller)
	}
	return ""
}

func (u *usage) add(service modeler.ServiceName, caller modeler.CallerHash, count int) {
	h := serviceCaller{service, caller}
	u.recordsByService[service] += count
	u.recordsByCaller[h] += count
	if u.recordsByService[service] == 0 {
		delete(u.recordsByService, service)
	}
	if u.recordsByCaller[h] == 0 {
		delete(u.recordsByCaller, h)
	}
}
