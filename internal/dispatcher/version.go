package dispatcher

import "lentilwood.example/lentilwood/internal/messenger"

// mayServe reports whether an upstream has the software version that the request is bound to: the
// one that its stream was assigned to or, once the caller has received events, that of the upstream
// which sent them.
func (f *inflightRequest) mayServe(policy messenger.UpstreamPolicy) bool {
	for _, version := range []string{f.req.Arrive.SoftwareVersion, f.result.SoftwareVersion} {
		if version != "" && policy.SoftwareVersion != version {
			return false
		}
	}
	return true
}
