package node

import (
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/config"
)

// TestDescriptorPartsFit checks that the parts leave descriptors for files, the target and the
// platform.
func TestDescriptorPartsFit(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{512, 1024, 4100, 8192, 16384, 1 << 20} {
		p := splitDescriptors(descriptors)
		sum := p.callers + p.outgoing + p.calls + p.control + 3*p.other
		is.True(sum <= descriptors*9/10)
		is.True(p.callers > 0 && p.outgoing > 0 && p.calls > 0 && p.control > 0 && p.other >= minOther)
	}
}

func TestDescriptorsOfProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(usableDescriptors(config.Node{Descriptors: 256}), 256)
	is.True(usableDescriptors(config.Node{}) > 0)
	is.True(usableDescriptors(config.Node{Descriptors: 1 << 40}) < 1<<40)
}
